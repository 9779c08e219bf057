/** Helpers for members and quorums. */
import type {Member, Membership} from '../../protocol/replication.ts';

/** A host that may run a replica. */
export interface ReplicaHost {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** Formats a member's identity: its host and its disk's incarnation. */
export function formatMember({name, incarnation}: Member): string {
  return `${name}/${incarnation}`;
}

/** Whether two members have the same host and disk incarnation. */
export function isSameMember(a: Member, b: Member): boolean {
  return formatMember(a) === formatMember(b);
}

/** Whether a member is a voter. */
export function includesMember(membership: Membership, member: Member) {
  return membership.voters.some(voter => isSameMember(voter, member));
}

/** Returns the smallest number of voters that is a majority. */
export function countMajority(voters: readonly unknown[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Returns the highest value that a majority of `values` reaches. */
export function findMajorityValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[countMajority(values) - 1] ?? -Infinity;
}

/**
 * Chooses the initial voters of a group, spread over data centres and regions.
 */
export function chooseVoters(
  hosts: readonly ReplicaHost[],
  count: number,
): ReplicaHost[] {
  const chosen: ReplicaHost[] = [];
  while (chosen.length < Math.min(count, hosts.length)) {
    const next = rankHosts(hosts, chosen)[0];
    if (!next) break;
    chosen.push(next);
  }
  return chosen;
}

/**
 * Lists the hosts not chosen yet, first those whose data centre, then those
 * whose region, has the fewest chosen hosts.
 */
export function rankHosts(
  hosts: readonly ReplicaHost[],
  chosen: readonly ReplicaHost[],
): ReplicaHost[] {
  const countIn = (key: 'dataCentre' | 'region', host: ReplicaHost) =>
    chosen.filter(each => each[key] === host[key]).length;
  return hosts
    .filter(host => !chosen.some(each => each.name === host.name))
    .sort(
      (a, b) =>
        countIn('dataCentre', a) - countIn('dataCentre', b) ||
        countIn('region', a) - countIn('region', b),
    );
}
