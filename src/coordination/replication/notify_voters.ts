/** Tells the first voters of a group that they belong to it. */
import type {Clock} from '../../protocol/clock.ts';
import type {
  Member,
  Membership,
  ReplicaDescription,
} from '../../protocol/replication.ts';
import {includesMember} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** Delay between attempts. */
const RETRY_DELAY_MS = 300;

/** Timeout for one call to a host. */
const CALL_TIMEOUT_MS = 1_000;

export interface NotifyVotersOptions {
  readonly group: string;
  readonly self: Member;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly getPeer: (name: string) => ReplicaPeer;
  /** Returns the membership in force; `null` on a host without a group. */
  readonly getMembership: () => Membership | null;
}

/**
 * Sends the membership to all other voters. Resolves when each belongs to a group,
 * has another disk, or is no voter any more. A host without a group stops once the
 * group has entries: its leader then does the rest.
 */
export async function notifyVoters(
  options: NotifyVotersOptions,
  membership: Membership,
): Promise<void> {
  const {self, getMembership} = options;
  const others = membership.voters.filter(({name}) => name !== self.name);
  let isLed = false;
  const isOver = (voter: Member) => {
    const current = getMembership();
    return current ? !includesMember(current, voter) : isLed;
  };
  const notify = async (voter: Member) => {
    const {group, clock, signal} = options;
    const to = voter.incarnation;
    while (!signal.aborted && !isOver(voter)) {
      const answer = await askHost(options, voter.name, peer =>
        peer.formGroup({group, to, membership}, CALL_TIMEOUT_MS),
      );
      if (answer && (answer.lastIndex ?? 0) > 0) isLed = true;
      if (answer?.formed) return;
      if (answer && answer.incarnation !== to) return;
      await clock.sleep(RETRY_DELAY_MS, signal);
    }
  };
  await Promise.all(others.map(notify));
}

/** Asks a host; `null` if it does not answer. */
export async function askHost(
  {getPeer}: Pick<NotifyVotersOptions, 'getPeer'>,
  name: string,
  ask: (peer: ReplicaPeer) => Promise<ReplicaDescription>,
): Promise<ReplicaDescription | null> {
  try {
    return await ask(getPeer(name));
  } catch {
    return null;
  }
}
