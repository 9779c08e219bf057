/**
 * Forms a new group.
 *
 * Hosts that know the first start of the whole system from later ones form it by a
 * majority of its founders, see `found_group.ts`. Among all others, only the first
 * listed host forms a group, and only if all listed hosts reply and none of them
 * belongs to a group. A host that lost its disk therefore never forms a second
 * group next to the first.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Member, Membership} from '../../protocol/replication.ts';
import {foundGroup} from './found_group.ts';
import type {Founder} from './founder.ts';
import {chooseVoters, type ReplicaHost} from './member.ts';
import {askHost, notifyVoters} from './notify_voters.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** Delay between attempts. */
const RETRY_DELAY_MS = 300;

/** Timeout for one call to a host. */
const CALL_TIMEOUT_MS = 1_000;

export interface FormationOptions {
  readonly group: string;
  readonly self: Member;
  /** The hosts that all have to reply, unless there are founders. */
  readonly bootstrapHosts: readonly ReplicaHost[];
  /** The votes of this host; `null`, the default, if it is no founder. */
  readonly founder?: Founder | null;
  /** Lists the hosts that may currently run replicas. */
  readonly listHosts: () => readonly ReplicaHost[];
  readonly voterCount: number;
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly logger: Logger;
  readonly signal: AbortSignal;
  readonly getPeer: (name: string) => ReplicaPeer;
  /**
   * Returns the initial membership while the log still starts with it, `null`
   * afterwards.
   */
  readonly getFormation: () => Membership | null;
  /** Returns the membership in force; `null` before a group is formed. */
  readonly getMembership: () => Membership | null;
  /** Makes this replica a member of a new group, durably. */
  readonly form: (membership: Membership) => Promise<void>;
}

/**
 * Forms the group if this host takes part in that. Resolves when all its voters
 * belong to it.
 */
export async function formGroup(options: FormationOptions): Promise<void> {
  const {bootstrapHosts, self, founder} = options;
  const [first] = bootstrapHosts;
  if (founder) await foundGroup({...options, founder});
  else if (first?.name === self.name) await formWithAll(options);
  else if (first) return;
  const membership = options.getFormation();
  if (membership) await notifyVoters(options, membership);
}

async function formWithAll(options: FormationOptions): Promise<void> {
  const {clock, signal} = options;
  while (!signal.aborted && !options.getMembership()) {
    const membership = await proposeMembership(options);
    if (membership) await options.form(membership);
    else await clock.sleep(RETRY_DELAY_MS, signal);
  }
}

/**
 * Returns the initial membership, or `null` unless all hosts reply and none
 * belongs to a group.
 */
async function proposeMembership(
  options: FormationOptions,
): Promise<Membership | null> {
  const {bootstrapHosts: hosts, self, group, voterCount} = options;
  const incarnations = new Map([[self.name, self.incarnation]]);
  const answers = await Promise.all(
    hosts
      .filter(host => host.name !== self.name)
      .map(async host => {
        const answer = await askHost(options, host.name, peer =>
          peer.describeReplica({group}, CALL_TIMEOUT_MS),
        );
        if (answer) incarnations.set(host.name, answer.incarnation);
        return answer !== null && !answer.formed;
      }),
  );
  if (!answers.every(Boolean)) return null;
  const voters = chooseVoters(hosts, voterCount).map(({name}) => ({
    name,
    incarnation: incarnations.get(name) ?? '',
  }));
  return {voters};
}
