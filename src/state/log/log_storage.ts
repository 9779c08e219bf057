/** The storage interface of a replica's log. */
import type {LogEntry, Membership} from '../../protocol/replication.ts';

/** The term and vote, which a replica must persist besides its entries. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string | null;
}

/** The metadata of a snapshot. */
export interface SnapshotHead {
  /** The last entry that the snapshot covers; 0 at group formation. */
  readonly index: number;
  readonly term: number;
  /** The members as of that entry. */
  readonly membership: Membership;
}

/** A snapshot: its metadata and the state. */
export interface Snapshot extends SnapshotHead {
  /** The state machine's snapshot; `null` at group formation. */
  readonly state: unknown;
}

/**
 * A log whose writes are synced before their promise resolves.
 *
 * A write rejects with `DiskFullError` if nothing was written, and with
 * `StorageFailedError` if the content of the disk is uncertain; all later
 * writes then reject, too.
 */
export interface LogStorage extends AsyncDisposable {
  /** Created with the data folder, so a replaced disk has a different one. */
  readonly incarnation: string;
  /** Whether the data folder was created when this log was opened. */
  readonly isNew: boolean;
  readonly hardState: HardState;
  /** The first readable entry; `lastIndex + 1` if there is none. */
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly snapshot: SnapshotHead | null;
  /** Bytes of entries that the snapshot does not cover. */
  readonly tailBytes: number;
  /** The size of the snapshot file. */
  readonly snapshotBytes: number;
  saveHardState(state: HardState): Promise<void>;
  /** Appends entries, and replaces those from the first one's index on. */
  append(entries: readonly LogEntry[]): Promise<void>;
  /**
   * Returns the entries from `first` to `last`, both inclusive. Stops after the
   * entry that reaches `maxBytes`.
   */
  read(first: number, last: number, maxBytes?: number): LogEntry[];
  /** Returns the term of an entry; `null` if it is unknown. */
  getTerm(index: number): number | null;
  /** Returns the encoded snapshot; `null` if there is none. */
  readSnapshot(): Promise<Buffer | null>;
  /**
   * Replaces the snapshot with an encoded one and compacts the entries that
   * it covers. Ignores a snapshot older than the current one.
   */
  saveSnapshot(head: SnapshotHead, bytes: Buffer): Promise<void>;
}
