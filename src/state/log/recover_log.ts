/**
 * The operator's last resort when a majority of a group is lost for good.
 *
 * The replica on this disk becomes the only voter. What it holds is kept,
 * also entries that were never committed; committed entries that it does not
 * hold are lost.
 */
import type {Member} from '../../protocol/replication.ts';
import type {LogStorage} from './log_storage.ts';

/** What a disk holds of a group. */
export interface LogReport {
  /** The last entry held; later ones are lost by a recovery. */
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The last entry in the snapshot, which was surely committed. */
  readonly snapshotIndex: number;
  /** Who votes as far as this disk knows; empty without a group. */
  readonly voters: readonly Member[];
}

/** Says what the log holds. */
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

/** Makes the replica of the host `name` the only voter of its group. */
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
