/** Decides how a leader changes the voters of its group. */
import type {Member, ReplicaDescription} from '../../protocol/replication.ts';
import {
  chooseVoters,
  countMajority,
  formatMember,
  includesMember,
  isSameMember,
  rankHosts,
  type ReplicaHost,
} from './member.ts';

/** A voter as observed by the leader. */
export interface VoterView {
  readonly member: Member;
  /** Time since its last reply; 0 for the leader itself. */
  readonly sinceContactMs: number;
}

/** A learner as observed by the leader. */
export interface LearnerView {
  readonly member: Member;
  /** Whether it has synced all committed entries. */
  readonly caughtUp: boolean;
}

export interface MembershipView {
  /** The leader, which is never removed from the voters. */
  readonly leader: Member;
  /** The hosts that may run replicas. */
  readonly hosts: readonly ReplicaHost[];
  /** The target number of voters. */
  readonly voterCount: number;
  readonly voters: readonly VoterView[];
  readonly learners: readonly LearnerView[];
  /** The descriptions from the hosts that replied, by host name. */
  readonly descriptions: ReadonlyMap<string, ReplicaDescription>;
  /** A voter without a reply for this long counts as permanently lost. */
  readonly replaceAfterMs: number;
  /** A voter counts as reachable if it replied within this time. */
  readonly reachableMs: number;
}

/** One step, which adds or removes at most one voter. */
export type MembershipStep =
  | {readonly type: 'none'}
  /** Start replicating to a host as a learner, without a vote. */
  | {readonly type: 'learn'; readonly member: Member}
  /** Stop replicating to a learner. */
  | {readonly type: 'forget'; readonly member: Member}
  | {readonly type: 'change'; readonly voters: readonly Member[]};

const NONE: MembershipStep = {type: 'none'};

/**
 * Plans the next step. A voter is lost if its host returned with another disk,
 * is no longer listed, or has not replied for `replaceAfterMs`. Its
 * replacement is promoted once it has caught up, and the lost voter is removed
 * right after that: in this order, the lost voter still counts towards a
 * majority if it returns in the meantime.
 */
export function planMembership(view: MembershipView): MembershipStep {
  const promoted = view.learners.find(({member}) => isVoter(view, member));
  // A disk listed as voter and learner could be added as a voter twice, and a
  // majority would then consist of too few disks.
  if (promoted) return {type: 'forget', member: promoted.member};
  const target = Math.min(view.voterCount, view.hosts.length);
  const lost = view.voters.filter(voter => isLost(view, voter));
  const missing = target - (view.voters.length - lost.length);
  if (lost.length > 0 && (missing <= 0 || view.voters.length > target)) {
    return removeVoter(view, lost);
  }
  if (missing < 0) return removeVoter(view, listSurplus(view, target));
  if (missing === 0) return removeLearner(view);
  const learner = view.learners.find(({member}) => canReplace(view, member));
  if (!learner) return addLearner(view, lost);
  return learner.caughtUp
    ? promoteLearner(view, learner)
    : removeStaleLearner(view);
}

function isLost(
  view: MembershipView,
  {member, sinceContactMs}: VoterView,
): boolean {
  // An earlier disk of the leader's own host is permanently lost.
  if (member.name === view.leader.name) return !isLeader(view, member);
  if (!view.hosts.some(host => host.name === member.name)) return true;
  const answer = view.descriptions.get(member.name);
  if (answer) return answer.incarnation !== member.incarnation;
  return sinceContactMs >= view.replaceAfterMs;
}

function isVoter(view: MembershipView, member: Member): boolean {
  const voters = view.voters.map(voter => voter.member);
  return includesMember({voters}, member);
}

function isLeader(view: MembershipView, member: Member): boolean {
  return isSameMember(member, view.leader);
}

/** Whether a learner's host still reports the same disk. */
function canReplace(view: MembershipView, member: Member): boolean {
  const answer = view.descriptions.get(member.name);
  return answer?.incarnation === member.incarnation;
}

function removeLearner(view: MembershipView): MembershipStep {
  const learner = view.learners[0];
  return learner ? {type: 'forget', member: learner.member} : NONE;
}

function removeStaleLearner(view: MembershipView): MembershipStep {
  const gone = view.learners.find(({member}) => !canReplace(view, member));
  return gone ? {type: 'forget', member: gone.member} : NONE;
}

/** Lists voters beyond the target, as after a lost voter has returned. */
function listSurplus(view: MembershipView, target: number): VoterView[] {
  const names = view.voters.map(voter => voter.member.name);
  const voting = view.hosts.filter(host => names.includes(host.name));
  const kept = chooseVoters(voting, target).map(host => host.name);
  const others = view.voters.filter(({member}) => !isLeader(view, member));
  const surplus = others.filter(voter => !kept.includes(voter.member.name));
  return surplus.length > 0 ? surplus : others;
}

/** Removes the first candidate if the remaining voters have a quorum. */
function removeVoter(
  view: MembershipView,
  candidates: readonly VoterView[],
): MembershipStep {
  const [first] = candidates;
  const staying = view.voters.filter(voter => voter !== first);
  const reachable = countReachable(view, staying);
  if (!first || reachable < countMajority(staying)) return NONE;
  return {type: 'change', voters: staying.map(voter => voter.member)};
}

/** Promotes a learner if the voters, with it, have a quorum. */
function promoteLearner(
  view: MembershipView,
  {member}: LearnerView,
): MembershipStep {
  const voters = [...view.voters.map(voter => voter.member), member];
  const reachable = countReachable(view, view.voters) + 1;
  return reachable < countMajority(voters) ? NONE : {type: 'change', voters};
}

function countReachable(
  view: MembershipView,
  voters: readonly VoterView[],
): number {
  return voters.filter(voter => voter.sinceContactMs <= view.reachableMs)
    .length;
}

/**
 * Adds a learner on the host that should vote next: that of a lost voter with
 * a new disk, otherwise the host that improves the spread most. Stale learners
 * are removed first.
 */
function addLearner(
  view: MembershipView,
  lost: readonly VoterView[],
): MembershipStep {
  const gone = removeStaleLearner(view);
  if (gone.type !== 'none') return gone;
  const voting = new Set(view.voters.map(({member}) => formatMember(member)));
  const members = new Map<string, Member>();
  for (const [name, {incarnation}] of view.descriptions) {
    const member = {name, incarnation};
    if (!voting.has(formatMember(member))) members.set(name, member);
  }
  const returned = lost.find(({member}) => members.has(member.name));
  const staying = view.hosts.filter(host =>
    view.voters.some(
      voter => voter.member.name === host.name && !lost.includes(voter),
    ),
  );
  const best =
    returned?.member.name ??
    rankHosts(view.hosts, staying).find(host => members.has(host.name))?.name;
  const member = best === undefined ? undefined : members.get(best);
  return member ? {type: 'learn', member} : NONE;
}
