/**
 * A map that knows which of its values changed after a revision.
 *
 * Readers keep the revision up to which they know the values, and list those
 * that changed since then. Removed values are not listed.
 */
interface RevisedValue<V> {
  readonly value: V;
  /** The revision of the map at which it changed. */
  readonly changedAt: number;
}

export class RevisedMap<V> {
  private readonly values = new Map<string, RevisedValue<V>>();
  private lastRevision = 0;

  /** Increases with each change that readers need to know. */
  get revision(): number {
    return this.lastRevision;
  }

  get size(): number {
    return this.values.size;
  }

  get(key: string): V | undefined {
    return this.values.get(key)?.value;
  }

  /** Sets a value that readers need to know. */
  set(key: string, value: V): void {
    this.values.set(key, {value, changedAt: ++this.lastRevision});
  }

  /** Replaces a value by one that means the same to readers. */
  replace(key: string, value: V): void {
    const {changedAt = ++this.lastRevision} = this.values.get(key) ?? {};
    this.values.set(key, {value, changedAt});
  }

  delete(key: string): void {
    this.values.delete(key);
  }

  /** Lists what changed after a revision, in the order of the changes. */
  listRevised(after: number) {
    return [...this.values]
      .filter(([, {changedAt}]) => changedAt > after)
      .map(([key, revised]) => ({key, ...revised}))
      .sort((a, b) => a.changedAt - b.changedAt);
  }

  /** Lists the values that changed after a revision, with their keys. */
  list(after = 0): Array<[string, V]> {
    return [...this.values]
      .filter(([, {changedAt}]) => changedAt > after)
      .map(([key, {value}]) => [key, value]);
  }

  *[Symbol.iterator](): IterableIterator<[string, V]> {
    for (const [key, {value}] of this.values) yield [key, value];
  }
}
