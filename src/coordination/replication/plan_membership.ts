/** Decides how a leader changes the voters of its group. */
import type {Member, ReplicaDescription} from '../../protocol/replication.ts';
import {findLostVoters, isSilent, type LostVoter} from './find_lost_voters.ts';
import {
  chooseVoters,
  countMajority,
  formatMember,
  includesMember,
  isSameMember,
  rankHosts,
  type ReplicaHost,
} from './member.ts';

/** A voter as observed by the leader and the leaders before it. */
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
  /** How long it has led. */
  readonly leadingMs: number;
  /** The hosts that may run replicas. */
  readonly hosts: readonly ReplicaHost[];
  /** The target number of voters. */
  readonly voterCount: number;
  /** The number of learners that are kept caught up while none is needed. */
  readonly spareCount: number;
  readonly voters: readonly VoterView[];
  readonly learners: readonly LearnerView[];
  /**
   * The descriptions from the hosts that replied, by host name. Voters in
   * contact may be left out.
   */
  readonly descriptions: ReadonlyMap<string, ReplicaDescription>;
  /** Index of the first entry that can be sent without a snapshot. */
  readonly firstIndex: number;
  /** Members whose start explains a loss that another member has repaired. */
  readonly knownSuccessors: ReadonlySet<string>;
  /** A voter without a reply for this long counts as permanently lost. */
  readonly replaceAfterMs: number;
  /** The same for a voter that seems to have a successor. */
  readonly succeededAfterMs: number;
  /** A voter counts as reachable if it replied within this time. */
  readonly reachableMs: number;
}

/** One step, which adds or removes at most one voter. */
export type MembershipStep =
  | {readonly type: 'none'}
  /** A step is due but not possible yet. */
  | {readonly type: 'wait'; readonly reason: string}
  /** Start replicating to a host as a learner, without a vote. */
  | {readonly type: 'learn'; readonly member: Member}
  /** Stop replicating to a learner. */
  | {readonly type: 'forget'; readonly member: Member}
  | {
      readonly type: 'change';
      readonly voters: readonly Member[];
      readonly lost: readonly LostVoter[];
    };

const NONE: MembershipStep = {type: 'none'};

/**
 * Plans the next step.
 *
 * A lost voter is removed right after a learner that has caught up was promoted
 * in its place: in this order, it still counts towards a majority if it returns
 * in the meantime. One commit adds or removes one voter, so any majority before
 * a change shares a voter with any majority after it.
 */
export function planMembership(view: MembershipView): MembershipStep {
  const promoted = view.learners.find(({member}) => isVoter(view, member));
  // A disk listed as voter and learner could be added as a voter twice, and a
  // majority would then consist of too few disks.
  if (promoted) return {type: 'forget', member: promoted.member};
  const lost = findLostVoters(view);
  const removable = findRemovable(view, lost);
  if (removable) return removeVoter(view, lost, removable);
  const stale = view.learners.find(({member}) => !isDescribed(view, member));
  if (stale) return {type: 'forget', member: stale.member};
  const missing = countMissing(view, lost);
  if (missing > 0) {
    const learner = chooseLearner(view, lost);
    if (learner) return promoteLearner(view, lost, learner);
  }
  return planSpares(view, lost, missing);
}

/**
 * Finds a voter to remove without a successor. If the number of voters is even,
 * that lowers the number of votes that a majority needs; otherwise a lost voter
 * is kept, since it may return. One that is not listed any more is kept only
 * while a listed host can take its place.
 */
function findRemovable(
  view: MembershipView,
  lost: readonly LostVoter[],
): VoterView | undefined {
  const {length} = view.voters;
  const unlisted = lost.find(({reason}) => reason === 'unlisted');
  if (unlisted && !hasSpareHost(view)) return unlisted.voter;
  if (length % 2 === 0 && lost[0]) return lost[0].voter;
  if (length > view.voterCount) return findSurplus(view);
  // The number is even after a promotion in the place of a lost voter.
  if (length % 2 === 0 && length < view.voterCount) return findSilent(view);
  return undefined;
}

/** Whether a listed host has no vote. */
function hasSpareHost(view: MembershipView): boolean {
  const voting = new Set(view.voters.map(({member}) => member.name));
  return view.hosts.some(({name}) => !voting.has(name));
}

/** Finds the voter that is silent for longest, if one seems to be lost. */
function findSilent(view: MembershipView): VoterView | undefined {
  return view.voters
    .filter(voter => isSilent(view, voter, view.succeededAfterMs))
    .sort((a, b) => b.sinceContactMs - a.sinceContactMs)[0];
}

function isVoter(view: MembershipView, member: Member): boolean {
  const voters = view.voters.map(voter => voter.member);
  return includesMember({voters}, member);
}

/** Whether a member's host still reports the same disk. */
function isDescribed(view: MembershipView, member: Member): boolean {
  const answer = view.descriptions.get(member.name);
  return answer?.incarnation === member.incarnation;
}

/**
 * Counts the voters to add: one for each lost voter, and further ones up to the
 * target. Below the target the number stays odd, because one more voter than
 * that does not let the group bear another loss.
 */
function countMissing(
  view: MembershipView,
  lost: readonly LostVoter[],
): number {
  if (lost.length > 0) return lost.length;
  const {length} = view.voters;
  const available = length + listCandidates(view).length;
  if (available >= view.voterCount) return view.voterCount - length;
  return Math.max(0, available - (1 - (available % 2)) - length);
}

/** Lists the members without a vote whose hosts answer. */
function listCandidates(view: MembershipView): Member[] {
  const candidates: Member[] = [];
  for (const [name, {incarnation}] of view.descriptions) {
    const member = {name, incarnation};
    if (name === view.leader.name || isVoter(view, member)) continue;
    candidates.push(member);
  }
  return candidates;
}

/**
 * Ranks members without a vote: first those on the host of a lost voter, then
 * those that need no snapshot, as an earlier leader kept them caught up, and
 * among these those that improve the spread of the voters most.
 */
function rankCandidates(
  view: MembershipView,
  lost: readonly LostVoter[],
  candidates: readonly Member[],
): Member[] {
  const lostNames = lost.map(({voter}) => voter.member.name);
  const staying = view.hosts.filter(
    host =>
      !lostNames.includes(host.name) &&
      view.voters.some(({member}) => member.name === host.name),
  );
  const order = rankHosts(view.hosts, staying).map(({name}) => name);
  const needsSnapshot = ({name}: Member) =>
    (view.descriptions.get(name)?.lastIndex ?? 0) < view.firstIndex - 1;
  const getRank = (member: Member) => {
    if (lostNames.includes(member.name)) return -1;
    const rank = order.indexOf(member.name);
    return needsSnapshot(member) ? order.length + rank : rank;
  };
  return candidates
    .filter(({name}) => order.includes(name))
    .sort((a, b) => getRank(a) - getRank(b));
}

/** Chooses the learner to promote; `undefined` if none has caught up. */
function chooseLearner(
  view: MembershipView,
  lost: readonly LostVoter[],
): Member | undefined {
  const ready = view.learners
    .filter(({caughtUp}) => caughtUp)
    .map(({member}) => member);
  return rankCandidates(view, lost, ready)[0];
}

/** Keeps as many learners as are missing, and at least the spares. */
function planSpares(
  view: MembershipView,
  lost: readonly LostVoter[],
  missing: number,
): MembershipStep {
  const wanted = Math.max(view.spareCount, missing);
  const learning = view.learners.map(({member}) => member);
  if (learning.length > wanted) {
    const last = rankCandidates(view, lost, learning).at(-1) ?? learning[0];
    return last ? {type: 'forget', member: last} : NONE;
  }
  if (learning.length < wanted) {
    const others = listCandidates(view).filter(
      member => !learning.some(each => isSameMember(each, member)),
    );
    const [best] = rankCandidates(view, lost, others);
    if (best) return {type: 'learn', member: best};
  }
  if (missing === 0) return NONE;
  const reason =
    learning.length > 0 ? 'no learner has caught up' : 'no spare host answers';
  return {type: 'wait', reason};
}

/**
 * Finds a voter beyond the target: the one that is silent for longest, else,
 * once all answer, one that adds least to the spread.
 */
function findSurplus(view: MembershipView): VoterView | undefined {
  const silent = findSilent(view);
  if (silent) return silent;
  if (view.voters.some(each => each.sinceContactMs > view.reachableMs)) return;
  const others = view.voters.filter(
    ({member}) => !isSameMember(member, view.leader),
  );
  const names = view.voters.map(voter => voter.member.name);
  const voting = view.hosts.filter(host => names.includes(host.name));
  const kept = chooseVoters(voting, view.voterCount).map(host => host.name);
  const surplus = others.find(({member}) => !kept.includes(member.name));
  return surplus ?? others[0];
}

/** Removes a voter if the remaining ones have a quorum. */
function removeVoter(
  view: MembershipView,
  lost: readonly LostVoter[],
  voter: VoterView | undefined,
): MembershipStep {
  const staying = view.voters.filter(each => each !== voter);
  if (countReachable(view, staying) < countMajority(staying)) {
    return {type: 'wait', reason: 'no majority of voters reachable'};
  }
  const voters = staying.map(({member}) => member);
  return {type: 'change', voters, lost};
}

/** Promotes a learner if the voters, with it, have a quorum. */
function promoteLearner(
  view: MembershipView,
  lost: readonly LostVoter[],
  member: Member,
): MembershipStep {
  const voters = [...view.voters.map(voter => voter.member), member];
  const reachable = countReachable(view, view.voters) + 1;
  return reachable < countMajority(voters)
    ? {type: 'wait', reason: 'no majority of voters reachable'}
    : {type: 'change', voters, lost};
}

function countReachable(
  view: MembershipView,
  voters: readonly VoterView[],
): number {
  return voters.filter(voter => voter.sinceContactMs <= view.reachableMs)
    .length;
}

/** Formats the voters that count as lost, with reasons and silences. */
export function formatLost(lost: readonly LostVoter[]): string[] {
  return lost.map(
    ({voter: {member, sinceContactMs}, reason}) =>
      `${formatMember(member)}: ${reason}, silent for ${Math.round(sinceContactMs)} ms`,
  );
}
