/** The state of a group as one of its members sees it, for logs and metrics. */
import type {Member} from '../../protocol/replication.ts';
import type {Leadership} from './leadership.ts';
import {countMajority, isSameMember} from './member.ts';
import {REACHABLE_MS} from './peer_replicator.ts';

/** A member as the leader sees it. */
export interface MemberStatus {
  readonly member: Member;
  /** Time since the call that it answered last; `Infinity` if it never did. */
  readonly contactAgeMs: number;
  /** The number of the leader's entries that it has not synced. */
  readonly lagEntries: number;
}

/** What only the leader knows of the other members. */
export interface LeaderStatus {
  /** All voters, the leader included. */
  readonly voters: readonly MemberStatus[];
  /** The members without a vote. */
  readonly spares: readonly MemberStatus[];
}

export interface GroupStatus {
  readonly group: string;
  readonly self: Member;
  /** The leader that this member knows, possibly itself. */
  readonly leader: string | null;
  /** The voters in force; none before the group is formed. */
  readonly voters: readonly Member[];
  readonly appliedIndex: number;
  readonly lastIndex: number;
  /** `null` at a member that does not lead. */
  readonly leading: LeaderStatus | null;
}

export interface DescribeLeadershipOptions {
  readonly self: Member;
  readonly voters: readonly Member[];
  readonly leadership: Leadership;
  readonly lastIndex: number;
  /** The current time on the monotonic clock. */
  readonly now: number;
}

/** Describes the members as the leader sees them. */
export function describeLeadership({
  self,
  voters,
  leadership,
  lastIndex,
  now,
}: DescribeLeadershipOptions): LeaderStatus {
  const describe = (member: Member): MemberStatus => {
    if (isSameMember(member, self)) {
      return {member, contactAgeMs: 0, lagEntries: 0};
    }
    const progress = leadership.get(member);
    return {
      member,
      contactAgeMs: now - (progress?.lastContactAt ?? -Infinity),
      lagEntries: lastIndex - (progress?.matchIndex ?? 0),
    };
  };
  return {
    voters: voters.map(describe),
    spares: [...leadership.learners.values()].map(describe),
  };
}

/** Lists the voters that are in contact with the leader. */
export function listVotersInContact({voters}: LeaderStatus): MemberStatus[] {
  return voters.filter(voter => voter.contactAgeMs < REACHABLE_MS);
}

/** Computes how many more voters may be lost now without losing a majority. */
export function computeToleratedLosses(status: LeaderStatus): number {
  const spareVotes =
    listVotersInContact(status).length - countMajority(status.voters);
  return Math.max(0, spareVotes);
}
