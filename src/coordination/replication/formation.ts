/**
 * Forms a new group.
 *
 * Only the first listed host forms a group, and only if all listed hosts reply
 * and none of them belongs to a group. A host that lost its disk therefore
 * never forms a second group next to the first.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  Member,
  Membership,
  ReplicaDescription,
} from '../../protocol/replication.ts';
import {chooseVoters, type ReplicaHost} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';

/** Delay between attempts. */
const RETRY_DELAY_MS = 300;

/** Timeout for one call to a host. */
const CALL_TIMEOUT_MS = 1_000;

export interface FormationOptions {
  readonly group: string;
  readonly self: Member;
  readonly hosts: readonly ReplicaHost[];
  readonly voterCount: number;
  readonly clock: Clock;
  readonly signal: AbortSignal;
  readonly getPeer: (name: string) => ReplicaPeer;
  /** Returns whether this replica belongs to a group. */
  readonly isFormed: () => boolean;
  /**
   * Returns the initial membership while the log still starts with it, `null`
   * afterwards.
   */
  readonly getFormation: () => Membership | null;
  /** Makes this replica a member of a new group, durably. */
  readonly form: (membership: Membership) => Promise<void>;
}

/**
 * Forms the group if this is the first listed host. Resolves when all voters
 * belong to it.
 */
export async function formGroup(options: FormationOptions): Promise<void> {
  const {hosts, self, clock, signal} = options;
  if (hosts[0]?.name !== self.name) return;
  while (!signal.aborted && !options.isFormed()) {
    const membership = await proposeMembership(options);
    if (membership) await options.form(membership);
    else await clock.sleep(RETRY_DELAY_MS, signal);
  }
  const membership = options.getFormation();
  if (!membership) return;
  const others = membership.voters.filter(({name}) => name !== self.name);
  await Promise.all(
    others.map(voter => notifyVoter(options, membership, voter)),
  );
}

/**
 * Returns the initial membership, or `null` unless all hosts reply and none
 * belongs to a group.
 */
async function proposeMembership(
  options: FormationOptions,
): Promise<Membership | null> {
  const {hosts, self, group, voterCount} = options;
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

/**
 * Sends the membership to a voter until it belongs to a group or turns out to
 * have another disk.
 */
async function notifyVoter(
  options: FormationOptions,
  membership: Membership,
  {name, incarnation}: Member,
): Promise<void> {
  const {group, clock, signal} = options;
  while (!signal.aborted) {
    const answer = await askHost(options, name, peer =>
      peer.formGroup({group, to: incarnation, membership}, CALL_TIMEOUT_MS),
    );
    if (answer?.formed) return;
    if (answer && answer.incarnation !== incarnation) return;
    await clock.sleep(RETRY_DELAY_MS, signal);
  }
}

async function askHost(
  options: FormationOptions,
  name: string,
  ask: (peer: ReplicaPeer) => Promise<ReplicaDescription>,
): Promise<ReplicaDescription | null> {
  try {
    return await ask(options.getPeer(name));
  } catch {
    return null;
  }
}
