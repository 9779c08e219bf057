/** The leader's task that repairs the membership automatically. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {
  Member,
  Membership,
  ReplicaDescription,
} from '../../protocol/replication.ts';
import {ContactLog} from './contact_log.ts';
import type {Leadership} from './leadership.ts';
import {formatMember, isSameMember, type ReplicaHost} from './member.ts';
import type {ReplicaPeer} from './peer_replicator.ts';
import {
  planMembership,
  type MembershipStep,
  type VoterView,
} from './plan_membership.ts';

/** Interval between checks of the membership. */
const CHECK_INTERVAL_MS = 1_000;

/** A voter counts as reachable if it replied within this time. */
const REACHABLE_TIMEOUT_MS = 1_000;

/** Timeout for a host's description of its replica. */
const DESCRIBE_TIMEOUT_MS = 500;

export interface MembershipRepairOptions {
  readonly group: string;
  /** The leader itself. */
  readonly self: Member;
  /** Lists the hosts that may currently run replicas. */
  readonly listHosts: () => readonly ReplicaHost[];
  readonly voterCount: number;
  readonly replaceAfterMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getPeer: (name: string) => ReplicaPeer;
  readonly leadership: Leadership;
  readonly getMembership: () => Membership;
  readonly getCommitIndex: () => number;
  /** Updates the peers replicated to after voters or learners changed. */
  readonly servePeers: () => void;
  /** Commits a membership; resolves to false if that failed. */
  readonly change: (membership: Membership) => Promise<boolean>;
}

/**
 * Replaces lost voters and restores the number of voters until the leadership
 * ends.
 */
export async function repairMembership(
  options: MembershipRepairOptions,
): Promise<void> {
  const {leadership, clock, group, logger} = options;
  const {signal} = leadership.stopped;
  const contactLog = new ContactLog({
    group,
    logger,
    silentAfterMs: REACHABLE_TIMEOUT_MS,
  });
  let changed = false;
  while (!signal.aborted) {
    // Checks again at once after a change, so that the promotion of a learner
    // and the removal of the voter it replaces happen close together.
    if (!changed) await clock.sleep(CHECK_INTERVAL_MS, signal);
    changed = false;
    if (signal.aborted) return;
    const leadingMs = clock.monotonic() - leadership.since;
    contactLog.record(listVoters(options), leadingMs);
    if (!needsRepair(options)) continue;
    const descriptions = await describeHosts(options);
    if (signal.aborted) return;
    const step = planMembership({
      leader: options.self,
      hosts: options.listHosts(),
      voterCount: options.voterCount,
      replaceAfterMs: options.replaceAfterMs,
      reachableMs: REACHABLE_TIMEOUT_MS,
      voters: listVoters(options),
      learners: [...leadership.learners.values()].map(member => ({
        member,
        caughtUp: hasCaughtUp(options, member),
      })),
      descriptions,
    });
    changed = await applyStep(options, step);
  }
}

function needsRepair(options: MembershipRepairOptions): boolean {
  const {voterCount, leadership} = options;
  const hosts = options.listHosts();
  const voters = listVoters(options);
  return (
    leadership.learners.size > 0 ||
    voters.length !== Math.min(voterCount, hosts.length) ||
    voters.some(voter => voter.sinceContactMs > REACHABLE_TIMEOUT_MS)
  );
}

function listVoters(options: MembershipRepairOptions): VoterView[] {
  const {leadership, clock, self} = options;
  return options.getMembership().voters.map(member => {
    const lastContactAt =
      leadership.get(member)?.lastContactAt ?? leadership.since;
    const since = Math.max(lastContactAt, leadership.since);
    const isSelf = isSameMember(member, self);
    const sinceContactMs = isSelf ? 0 : clock.monotonic() - since;
    return {member, sinceContactMs};
  });
}

function hasCaughtUp(options: MembershipRepairOptions, member: Member) {
  const progress = options.leadership.get(member);
  return (progress?.matchIndex ?? 0) >= options.getCommitIndex();
}

async function describeHosts(
  options: MembershipRepairOptions,
): Promise<Map<string, ReplicaDescription>> {
  const {self, group} = options;
  const hosts = options.listHosts();
  const answers = new Map<string, ReplicaDescription>();
  const others = hosts.filter(host => host.name !== self.name);
  await Promise.all(
    others.map(async host => {
      const answer = await options
        .getPeer(host.name)
        .describeReplica({group}, DESCRIBE_TIMEOUT_MS)
        .catch(() => null);
      if (answer) answers.set(host.name, answer);
    }),
  );
  return answers;
}

/** Applies a step; resolves to true if the voters changed. */
async function applyStep(
  options: MembershipRepairOptions,
  step: MembershipStep,
): Promise<boolean> {
  const {leadership, logger, group} = options;
  if (step.type === 'none') return false;
  if (step.type === 'change') {
    const voters = step.voters.map(formatMember);
    logger.info('Changes the voters.', {group, voters});
    const isChanged = await options.change({voters: [...step.voters]});
    if (isChanged) {
      for (const voter of voters) leadership.learners.delete(voter);
    }
    return isChanged;
  }
  const member = formatMember(step.member);
  if (step.type === 'learn') {
    logger.info('Adds a learner.', {group, member});
    leadership.learners.set(member, step.member);
  } else {
    logger.info('Removes a learner.', {group, member});
    leadership.learners.delete(member);
  }
  options.servePeers();
  return false;
}
