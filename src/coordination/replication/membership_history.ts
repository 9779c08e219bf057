/** The memberships in a log, by the index of the entry that set them. */
import type {LogEntry, Membership} from '../../protocol/replication.ts';
import type {LogStorage} from '../../state/log/log_storage.ts';

interface Change {
  readonly index: number;
  readonly membership: Membership;
}

/**
 * Tracks the memberships in the log. The last entry is in force as soon as it
 * is appended, whether committed or not.
 */
export class MembershipHistory {
  private changes: Change[] = [];

  constructor(storage: LogStorage) {
    this.reset(storage);
  }

  /** The membership in force; `null` before the group is formed. */
  get current(): Membership | null {
    return this.changes.at(-1)?.membership ?? null;
  }

  /** Index of the entry that set the membership in force. */
  get lastChangeIndex(): number {
    return this.changes.at(-1)?.index ?? 0;
  }

  /** Returns the membership in force as of the entry at `index`. */
  getAt(index: number): Membership | null {
    const last = this.changes.filter(change => change.index <= index).at(-1);
    return last?.membership ?? null;
  }

  /** Records entries that replace all from the index of the first one. */
  replaceFrom(entries: readonly LogEntry[]): void {
    const first = entries[0]?.index;
    if (first === undefined) return;
    this.changes = this.changes.filter(change => change.index < first);
    for (const {index, membership} of entries) {
      if (membership) this.changes.push({index, membership});
    }
  }

  /** Rebuilds the history from the storage. */
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
