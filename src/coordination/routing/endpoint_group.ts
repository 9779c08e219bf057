/**
 * The endpoints that serve one version of a pool, as one gateway sees them.
 *
 * A large group is cut to a subset that is the same after each rebuild:
 * rendezvous hashing over gateway and endpoint, near endpoints first. So few
 * gateways share an endpoint, and each keeps fresh counts of what it uses.
 */
import type {EndpointEjection} from './endpoint_ejection.ts';
import {LARGEST_EJECTED_SHARE} from './endpoint_ejection.ts';
import type {EndpointStats} from './endpoint_stats.ts';

/** One endpoint with all that is learned of it. */
export interface GroupMember {
  readonly stats: EndpointStats;
  readonly ejection: EndpointEjection;
  /** The place in the gateway's own order of endpoints. */
  readonly rank: number;
  /** 0 in the own data centre, 1 in the own region, 2 beyond. */
  readonly distance: 0 | 1 | 2;
}

/** The speed of a version over all endpoints. */
export interface BaselineSpeed {
  /** The time to a first token on an idle endpoint; `null` before any. */
  firstTokenMs: number | null;
  /** The time between tokens; `null` before any. */
  tokenGapMs: number | null;
}

/** The endpoints of a group: those in the own region, and the others. */
export interface EndpointGroup {
  readonly near: readonly GroupMember[];
  readonly far: readonly GroupMember[];
  /** What is usual for the group's work; it outlives the group. */
  readonly baseline: BaselineSpeed;
}

/** The most endpoints of a group that a gateway uses, near and far each. */
export const SUBSET_SIZE = 24;

/** Builds a group from all its members. */
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

/** Members that may be used: the ejected ones out, unless they are many. */
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
