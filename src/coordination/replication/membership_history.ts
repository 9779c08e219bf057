/** The memberships that a log has held, by the entry that set them. */
import type {LogEntry, Membership} from '../../protocol/replication.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';

interface Change {
  readonly index: number;
  readonly membership: Membership;
}

/** Follows who votes; the last entry counts, whether committed or not. */
export class MembershipHistory {
  private changes: Change[] = [];

  constructor(storage: LogStorage) {
    this.reset(storage);
  }

  /** The membership in force; `null` before the group is formed. */
  get current(): Membership | null {
    return this.changes.at(-1)?.membership ?? null;
  }

  /** The entry that set the membership in force. */
  get lastChangeIndex(): number {
    return this.changes.at(-1)?.index ?? 0;
  }

  /** The membership as of an entry. */
  getAt(index: number): Membership | null {
    const last = this.changes.filter(change => change.index <= index).at(-1);
    return last?.membership ?? null;
  }

  /** Notes entries that replace all from the first one's index on. */
  replaceFrom(entries: readonly LogEntry[]): void {
    const first = entries[0]?.index;
    if (first === undefined) return;
    this.changes = this.changes.filter(change => change.index < first);
    for (const {index, membership} of entries) {
      if (membership) this.changes.push({index, membership});
    }
  }

  /** Reads everything anew from the storage. */
  reset(storage: LogStorage): void {
    const {snapshot} = storage;
    this.changes = snapshot
      ? [{index: snapshot.index, membership: snapshot.membership}]
      : [];
    const first = (snapshot?.index ?? 0) + 1;
    for (const {index, membership} of storage.read(first, storage.lastIndex)) {
      if (membership) this.changes.push({index, membership});
    }
  }
}
