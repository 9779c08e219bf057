/** Hands leadership over to a voter that takes it, before a leader stops. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Member} from '../../protocol/replication.ts';
import {isSameMember} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** How long voters are asked in all. */
const TRANSFER_TIMEOUT_MS = 700;

/** How long the first voter is asked alone. */
const ASK_ALONE_MS = 350;

export interface TransferOptions {
  readonly group: string;
  readonly term: number;
  /**
   * Lists the voters that answered a call sent after a time, the best successor
   * first.
   */
  readonly listSuccessors: (since: number) => readonly Member[];
  readonly getPeer: (name: string) => Pick<ReplicaPeer, 'transferLeadership'>;
  readonly clock: Pick<Clock, 'monotonic' | 'sleep'>;
  readonly logger: Logger;
}

/** Resolves once a voter leads, or none of those asked in time does. */
export async function transferLeadership(
  options: TransferOptions,
): Promise<boolean> {
  const {listSuccessors, clock} = options;
  const startedAt = clock.monotonic();
  const [first] = listSuccessors(-Infinity);
  if (!first) return false;
  const ended = new AbortController();
  const asked = askVoter(options, first, TRANSFER_TIMEOUT_MS);
  const reply = await Promise.race([
    asked,
    clock.sleep(ASK_ALONE_MS, ended.signal).then(() => 'none' as const),
  ]);
  ended.abort('replied');
  if (reply === 'stands') return true;
  // Without a reply, only a voter in contact since then is certain to be there.
  const since = reply === 'refuses' ? -Infinity : startedAt;
  for (const voter of listSuccessors(since)) {
    if (isSameMember(voter, first)) continue;
    const leftMs = startedAt + TRANSFER_TIMEOUT_MS - clock.monotonic();
    if (leftMs <= 0) break;
    const next = await askVoter(options, voter, Math.min(leftMs, ASK_ALONE_MS));
    if (next === 'stands') return true;
  }
  return (await asked) === 'stands';
}

async function askVoter(
  {group, term, getPeer, logger}: TransferOptions,
  {name, incarnation}: Member,
  timeoutMs: number,
): Promise<'stands' | 'refuses' | 'none'> {
  const report = (reason: string) =>
    logger.warn('Could not transfer leadership to a voter.', {
      group,
      voter: name,
      reason,
    });
  try {
    const request = {group, to: incarnation, term};
    const reply = await getPeer(name).transferLeadership(request, timeoutMs);
    if (reply.stands) return 'stands';
    report('it does not stand');
    return 'refuses';
  } catch (error) {
    report((error as Error).message);
    return 'none';
  }
}
