/** Decides which voters count as lost for good. */
import type {Member} from '../../protocol/replication.ts';
import {formatMember, isSameMember, type ReplicaHost} from './member.ts';
import type {MembershipView, VoterView} from './plan_membership.ts';

/**
 * A member that started with an empty disk at most this long before a voter
 * fell silent may be its successor: planned ones start first.
 */
export const SUCCESSOR_LEAD_MS = 10_000;

/**
 * A leader that has just been elected waits this long for the answers to its own
 * calls, which takes longer than their timeout, before it trusts the silences
 * that it took over.
 */
const SETTLE_MS = 700;

/** Why a voter counts as lost. */
export type LossReason =
  /** Its host answers with another disk. */
  | 'disk'
  /** Its host is not listed any more. */
  | 'unlisted'
  /** It was silent for longer than a restart takes. */
  | 'silent'
  /** It is silent, and another member started with an empty disk. */
  | 'succeeded';

export interface LostVoter {
  readonly voter: VoterView;
  readonly reason: LossReason;
  /** The member that is evidence of the loss, if the reason is 'succeeded'. */
  readonly successor?: Member;
}

/**
 * Finds the lost voters, those that are surely lost first.
 *
 * Silence alone does not distinguish a lost host from one that restarts or is
 * cut off, so it counts only after `replaceAfterMs`. A new member with an empty
 * disk is evidence that one host was replaced: it lets the voter that is silent
 * for longest count as lost after `succeededAfterMs`.
 */
export function findLostVoters(view: MembershipView): LostVoter[] {
  const lost: LostVoter[] = [];
  const silent: VoterView[] = [];
  for (const voter of view.voters) {
    const reason = findReason(view, voter);
    if (reason) lost.push({voter, reason});
    else if (isSilent(view, voter, view.succeededAfterMs)) silent.push(voter);
  }
  const successors = listSuccessors(view, lost);
  silent.sort((a, b) => b.sinceContactMs - a.sinceContactMs);
  for (const voter of silent) {
    const index = successors.findIndex(
      ({ageMs}) => ageMs < voter.sinceContactMs + SUCCESSOR_LEAD_MS,
    );
    const [successor] = index < 0 ? [] : successors.splice(index, 1);
    if (!successor) continue;
    lost.push({voter, reason: 'succeeded', successor: successor.member});
  }
  return lost;
}

function findReason(
  view: MembershipView,
  voter: VoterView,
): LossReason | undefined {
  const {member} = voter;
  if (member.name === view.leader.name) {
    return isSameMember(member, view.leader) ? undefined : 'disk';
  }
  if (!isListed(view.hosts, member.name)) return 'unlisted';
  const answer = view.descriptions.get(member.name);
  if (answer) {
    return answer.incarnation === member.incarnation ? undefined : 'disk';
  }
  return isSilent(view, voter, view.replaceAfterMs) ? 'silent' : undefined;
}

function isListed(hosts: readonly ReplicaHost[], name: string): boolean {
  return hosts.some(host => host.name === name);
}

/** Whether a voter is silent for `ms`, and its host does not answer either. */
export function isSilent(
  view: MembershipView,
  voter: VoterView,
  ms: number,
): boolean {
  if (view.leadingMs < SETTLE_MS) return false;
  if (view.descriptions.has(voter.member.name)) return false;
  return voter.sinceContactMs >= ms;
}

/**
 * Lists the members without a vote that started with an empty disk, the youngest
 * first. One on the host of a lost voter succeeds that voter and no other one,
 * and each is evidence of one loss.
 */
function listSuccessors(
  view: MembershipView,
  lost: readonly LostVoter[],
): Array<{member: Member; ageMs: number}> {
  const voting = new Set(view.voters.map(({member}) => formatMember(member)));
  const reserved = new Set(lost.map(({voter}) => voter.member.name));
  const successors: Array<{member: Member; ageMs: number}> = [];
  for (const [name, {incarnation, emptySinceMs}] of view.descriptions) {
    const member = {name, incarnation};
    const id = formatMember(member);
    if (emptySinceMs === undefined || reserved.has(name)) continue;
    if (voting.has(id) || view.knownSuccessors.has(id)) continue;
    successors.push({member, ageMs: emptySinceMs});
  }
  return successors.sort((a, b) => a.ageMs - b.ageMs);
}
