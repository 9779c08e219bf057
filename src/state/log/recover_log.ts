/**
 * Disaster recovery for a group whose majority is permanently lost.
 *
 * The replica on this disk becomes the only voter. Its entries are kept, even
 * those that were never committed; committed entries that it lacks are lost.
 */
import type {Member} from '../../protocol/replication.ts';
import type {LogStorage} from './log_storage.ts';

/** A summary of one replica's log. */
export interface LogReport {
  /** The last entry in the log; recovery loses any later ones. */
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The last entry of the snapshot, which is known to be committed. */
  readonly snapshotIndex: number;
  /** The voters according to this log; empty if it belongs to no group. */
  readonly voters: readonly Member[];
}

export function describeLog(storage: LogStorage): LogReport {
  const {lastIndex, snapshot} = storage;
  const changes = storage
    .read(storage.firstIndex, lastIndex)
    .filter(entry => entry.membership !== undefined);
  const membership = changes.at(-1)?.membership ?? snapshot?.membership;
  return {
    lastIndex,
    lastTerm: storage.getTerm(lastIndex) ?? 0,
    snapshotIndex: snapshot?.index ?? 0,
    voters: membership?.voters ?? [],
  };
}

/** Makes the replica on host `name` the only voter of its group. */
export async function recoverLog(
  storage: LogStorage,
  name: string,
): Promise<void> {
  const term = storage.hardState.term + 1;
  const voters = [{name, incarnation: storage.incarnation}];
  await storage.saveHardState({term, votedFor: null});
  await storage.append([
    {index: storage.lastIndex + 1, term, command: null, membership: {voters}},
  ]);
}
