/** What a replica needs of the storage beneath its log. */
import type {LogEntry, Membership} from '../../protocol/replication.ts';

/** What a replica must remember besides its entries. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string | null;
}

/** What a snapshot stands for. */
export interface SnapshotHead {
  /** The last entry that the snapshot contains; 0 at formation. */
  readonly index: number;
  readonly term: number;
  /** The members as of that entry. */
  readonly membership: Membership;
}

/** A snapshot with the state itself. */
export interface Snapshot extends SnapshotHead {
  /** What the state machine made; `null` at formation. */
  readonly state: unknown;
}

/**
 * A log whose writes are synced before their promise resolves.
 *
 * Every write rejects with `DiskFullError` when nothing was written, and with
 * `StorageFailedError` when what is on the disk is not known; from then on
 * each write rejects.
 */
export interface LogStorage extends AsyncDisposable {
  /** Made with the data folder; a lost disk comes back under another. */
  readonly incarnation: string;
  readonly hardState: HardState;
  /** The first entry that can be read; `lastIndex + 1` when there is none. */
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly snapshot: SnapshotHead | null;
  /** Bytes of entries that are not in the snapshot. */
  readonly tailBytes: number;
  /** The size of the snapshot's file. */
  readonly snapshotBytes: number;
  /** Replaces the hard state. */
  saveHardState(state: HardState): Promise<void>;
  /** Appends entries; from the first one's index on, they replace old ones. */
  append(entries: readonly LogEntry[]): Promise<void>;
  /**
   * Returns the entries from `first` to `last`, both included, and no more
   * than one beyond `maxBytes`.
   */
  read(first: number, last: number, maxBytes?: number): LogEntry[];
  /** Returns the term of an entry, `null` when it is not known. */
  getTerm(index: number): number | null;
  /** Returns the encoded snapshot, `null` when there is none. */
  readSnapshot(): Promise<Buffer | null>;
  /**
   * Replaces the snapshot by an encoded one, and drops entries behind it. An
   * older one than that in force is ignored.
   */
  saveSnapshot(head: SnapshotHead, bytes: Buffer): Promise<void>;
}
