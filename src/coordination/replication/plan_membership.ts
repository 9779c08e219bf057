/** Decides how a leader should change who votes. */
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

/** A voter as its leader sees it. */
export interface VoterView {
  readonly member: Member;
  /** How long it has not answered; 0 for the leader itself. */
  readonly sinceContactMs: number;
}

/** A learner as its leader sees it. */
export interface LearnerView {
  readonly member: Member;
  /** Whether it has synced all that is committed. */
  readonly caughtUp: boolean;
}

export interface MembershipView {
  /** The leader, which is never removed. */
  readonly leader: Member;
  /** The hosts that the settings list. */
  readonly hosts: readonly ReplicaHost[];
  /** How many voters there should be. */
  readonly voterCount: number;
  readonly voters: readonly VoterView[];
  readonly learners: readonly LearnerView[];
  /** What the hosts that answered said, by name. */
  readonly descriptions: ReadonlyMap<string, ReplicaDescription>;
  /** The silence after which a voter counts as lost for good. */
  readonly replaceAfterMs: number;
  /** The silence up to which a voter counts as reachable. */
  readonly reachableMs: number;
}

/** One step. At most one voter is added or removed at a time. */
export type MembershipStep =
  | {readonly type: 'none'}
  /** Begin to replicate to a host that does not vote yet. */
  | {readonly type: 'learn'; readonly member: Member}
  | {readonly type: 'forget'; readonly member: Member}
  | {readonly type: 'change'; readonly voters: readonly Member[]};

const NONE: MembershipStep = {type: 'none'};

/**
 * Plans the next step. A voter is lost when its host came back with another
 * disk, is no longer listed, or was silent for too long. Its replacement is
 * promoted once it has caught up, and the lost voter is removed right after:
 * in this order the lost voter still counts if it returns meanwhile.
 */
export function planMembership(view: MembershipView): MembershipStep {
  const promoted = view.learners.find(({member}) => isVoter(view, member));
  // One disk that votes twice would make a majority of too few.
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
  // An earlier disk of the leader's own host is gone for good.
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

/** Whether a learner's host still answers with the same disk. */
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

/** The voters beyond the target: one that was lost may have come back. */
function listSurplus(view: MembershipView, target: number): VoterView[] {
  const names = view.voters.map(voter => voter.member.name);
  const voting = view.hosts.filter(host => names.includes(host.name));
  const kept = chooseVoters(voting, target).map(host => host.name);
  const others = view.voters.filter(({member}) => !isLeader(view, member));
  const surplus = others.filter(voter => !kept.includes(voter.member.name));
  return surplus.length > 0 ? surplus : others;
}

/** Removes the first of some voters if those that stay can go on. */
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

/** Lets a learner vote if the voters can then still go on. */
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

/** Begins to replicate to the host that should vote next. */
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
