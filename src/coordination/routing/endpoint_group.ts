/**
 * The endpoints that serve one version of a pool, as used by one gateway.
 *
 * A large group is limited to a subset that is stable across rebuilds:
 * rendezvous hashing over gateway and endpoint, nearest endpoints first. So
 * few gateways share an endpoint, and each gateway's measurements of the
 * endpoints that it uses stay recent.
 */
import type {EndpointEjection} from './endpoint_ejection.ts';
import {LARGEST_EJECTED_SHARE} from './endpoint_ejection.ts';
import type {EndpointStats} from './endpoint_stats.ts';

/** One endpoint with its measurements. */
export interface GroupMember {
  readonly stats: EndpointStats;
  readonly ejection: EndpointEjection;
  /** The endpoint's rendezvous hash for this gateway; lower ranks first. */
  readonly rank: number;
  /** 0: same data centre; 1: same region; 2: another region. */
  readonly distance: 0 | 1 | 2;
}

/** The average speed of a group over all its endpoints. */
export interface BaselineSpeed {
  /** Time to first token on an idle endpoint; `null` before the first. */
  firstTokenMs: number | null;
  /** Time between tokens; `null` before the first measurement. */
  tokenGapMs: number | null;
}

/** The endpoints of a group, in the gateway's region and in others. */
export interface EndpointGroup {
  readonly near: readonly GroupMember[];
  readonly far: readonly GroupMember[];
  /** Outlives the group, which is rebuilt. */
  readonly baseline: BaselineSpeed;
}

/** The maximum endpoints that a gateway uses of a group, near and far each. */
export const SUBSET_SIZE = 24;

/** Builds a group from all endpoints that serve it. */
export function buildGroup(
  members: readonly GroupMember[],
  baseline: BaselineSpeed,
): EndpointGroup {
  return {
    near: selectSubset(members.filter(each => each.distance < 2)),
    far: selectSubset(members.filter(each => each.distance === 2)),
    baseline,
  };
}

/**
 * Lists the members to select from. Ejected ones are left out, unless more
 * are ejected than the limit allows or no healthy one is left.
 */
export function listUsable(members: readonly GroupMember[]): GroupMember[] {
  const serving = members.filter(each => !each.stats.endpoint.leaving);
  const healthy = serving.filter(each => !each.ejection.isEjected);
  const ejected = serving.length - healthy.length;
  const limit = Math.max(1, serving.length * LARGEST_EJECTED_SHARE);
  return healthy.length === 0 || ejected > limit ? serving : healthy;
}

function selectSubset(members: readonly GroupMember[]): readonly GroupMember[] {
  if (members.length <= SUBSET_SIZE) return members;
  return [...members]
    .sort((a, b) => a.distance - b.distance || a.rank - b.rank)
    .slice(0, SUBSET_SIZE);
}
