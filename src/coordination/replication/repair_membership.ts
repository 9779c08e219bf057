/** The leader's task that repairs the membership automatically. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {
  Member,
  Membership,
  ReplicaDescription,
} from '../../protocol/replication.ts';
import {ContactLog} from './contact_log.ts';
import {SUCCESSOR_LEAD_MS} from './find_lost_voters.ts';
import {HostProbes} from './host_probes.ts';
import type {Leadership} from './leadership.ts';
import {formatMember, type ReplicaHost} from './member.ts';
import {REACHABLE_MS, type ReplicaPeer} from './peer_replicator.ts';
import {
  formatLost,
  planMembership,
  type MembershipStep,
  type MembershipView,
  type VoterView,
} from './plan_membership.ts';

/** Interval between checks of the membership. */
const CHECK_INTERVAL_MS = 100;

export interface MembershipRepairOptions {
  readonly group: string;
  /** The leader itself. */
  readonly self: Member;
  /** Lists the hosts that may currently run replicas. */
  readonly listHosts: () => readonly ReplicaHost[];
  readonly voterCount: number;
  readonly spareCount: number;
  readonly replaceAfterMs: number;
  readonly succeededAfterMs: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getPeer: (name: string) => ReplicaPeer;
  readonly leadership: Leadership;
  /** Lists the voters as observed by this leader and those before it. */
  readonly listVoters: () => readonly VoterView[];
  /** Returns the index of the first entry that the leader still has. */
  readonly getFirstIndex: () => number;
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
  const {leadership, clock, group, logger, getPeer} = options;
  const {signal} = leadership.stopped;
  const silentAfterMs = REACHABLE_MS;
  const contactLog = new ContactLog({group, logger, silentAfterMs});
  const probes = new HostProbes({group, clock, getPeer});
  createView(options, probes);
  let changed = false;
  let lastReason = '';
  while (!signal.aborted) {
    // Checks again at once after a change, so that the promotion of a learner
    // and the removal of the voter it replaces happen close together.
    if (!changed) await clock.sleep(CHECK_INTERVAL_MS, signal);
    changed = false;
    if (signal.aborted) return;
    const view = createView(options, probes);
    contactLog.record(view.voters, view.leadingMs);
    const step = planMembership(view);
    const reason = step.type === 'wait' ? step.reason : '';
    if (reason !== '' && reason !== lastReason) {
      const voters = formatVoters(view);
      logger.warn('Cannot repair the membership yet.', {group, reason, voters});
    }
    lastReason = reason;
    changed = await applyStep(options, view, step);
  }
}

/** Asks the hosts that are not voters in contact, and gathers all inputs. */
function createView(
  options: MembershipRepairOptions,
  probes: HostProbes,
): MembershipView {
  const {leadership, clock, self, listHosts, listVoters} = options;
  const voters = listVoters();
  const hosts = listHosts();
  const inContact = new Set(
    voters
      .filter(({sinceContactMs}) => sinceContactMs <= REACHABLE_MS)
      .map(({member}) => member.name),
  );
  probes.refresh(
    hosts.filter(({name}) => name !== self.name && !inContact.has(name)),
  );
  const leadingMs = clock.monotonic() - leadership.since;
  const descriptions = probes.list();
  recordInitialMembers(leadership, descriptions, leadingMs);
  pruneSuccessors(options, descriptions);
  return {
    leader: self,
    leadingMs,
    hosts,
    voterCount: options.voterCount,
    spareCount: options.spareCount,
    replaceAfterMs: options.replaceAfterMs,
    succeededAfterMs: options.succeededAfterMs,
    reachableMs: REACHABLE_MS,
    voters,
    learners: [...leadership.learners.values()].map(member => ({
      member,
      caughtUp: hasCaughtUp(options, member),
    })),
    descriptions,
    knownSuccessors: new Set(leadership.knownSuccessors.keys()),
    firstIndex: options.getFirstIndex(),
  };
}

/**
 * Records the spares that started before the first leader of the group: they
 * came with it, and succeed no voter.
 */
function recordInitialMembers(
  {startIndex, knownSuccessors}: Leadership,
  descriptions: ReadonlyMap<string, ReplicaDescription>,
  leadingMs: number,
): void {
  if (startIndex > 1) return;
  for (const [name, {incarnation, emptySinceMs = 0}] of descriptions) {
    const member = {name, incarnation};
    if (emptySinceMs <= leadingMs) continue;
    knownSuccessors.set(formatMember(member), member);
  }
}

/** Drops the known successors that are too old to be evidence of a loss. */
function pruneSuccessors(
  {leadership: {knownSuccessors}, replaceAfterMs}: MembershipRepairOptions,
  descriptions: ReadonlyMap<string, ReplicaDescription>,
): void {
  const maxAgeMs = replaceAfterMs + SUCCESSOR_LEAD_MS;
  for (const [id, {name}] of knownSuccessors) {
    const answer = descriptions.get(name);
    if (!answer) continue;
    const {emptySinceMs = Infinity} = answer;
    if (emptySinceMs > maxAgeMs) knownSuccessors.delete(id);
  }
}

/** Whether a member had synced all that was committed a moment ago. */
function hasCaughtUp(
  {leadership, clock}: MembershipRepairOptions,
  member: Member,
): boolean {
  const caughtUpAt = leadership.get(member)?.caughtUpAt ?? -Infinity;
  return clock.monotonic() - caughtUpAt <= REACHABLE_MS;
}

function formatVoters({voters}: MembershipView): string[] {
  return voters.map(
    ({member, sinceContactMs}) =>
      `${formatMember(member)}: ${Math.round(sinceContactMs)} ms`,
  );
}

/** Applies a step; resolves to true if the voters changed. */
async function applyStep(
  options: MembershipRepairOptions,
  view: MembershipView,
  step: MembershipStep,
): Promise<boolean> {
  const {leadership, logger, group} = options;
  if (step.type === 'none' || step.type === 'wait') return false;
  if (step.type === 'change') {
    const voters = step.voters.map(formatMember);
    logger.info('Changes the voters.', {
      group,
      voters,
      before: formatVoters(view),
      lost: formatLost(step.lost),
      leadingMs: Math.round(view.leadingMs),
    });
    const isChanged = await options.change({voters: [...step.voters]});
    if (isChanged) {
      for (const voter of voters) leadership.learners.delete(voter);
      const [first] = step.lost;
      if (step.voters.length > view.voters.length && first?.successor) {
        const {successor} = first;
        leadership.knownSuccessors.set(formatMember(successor), successor);
      }
    } else {
      logger.warn('Could not change the voters.', {group, voters});
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
