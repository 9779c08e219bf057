/**
 * Draws the gateways that one answer of the directory names.
 *
 * Callers take one of the named addresses at random, so a host gets a share of them
 * by being named to a share of the callers. Who is named to whom follows from a hash:
 * all daemons agree, and a caller gets the same answer while nothing changes.
 */
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {computeShare} from '../forwarding/hash.ts';

/** The maximum number of addresses in one answer. */
export const MAX_ADDRESSES = 64;

/** The fewest addresses in one answer, if so many gateways are open. */
const MIN_ADDRESSES = 2;

/**
 * The time in which each caller gets each part of the draw once. Evens out what few
 * callers leave uneven; a caller's answer changes a few times a minute by it.
 */
const ROTATION_MS = 240_000;

/** A host gets at least this share of the callers that the best one gets. */
const MIN_SHARE = 0.05;

export interface DrawGatewaysOptions {
  /** What tells callers apart. */
  readonly caller: string;
  /** The time of day, in ms. */
  readonly nowMs: number;
}

/** Returns the addresses to name, in the order of the gateways. */
export function drawGateways(
  gateways: readonly Gateway[],
  {caller, nowMs}: DrawGatewaysOptions,
): string[] {
  const shares = computeShares(gateways);
  if (shares.every(share => share === 1)) {
    return gateways.slice(0, MAX_ADDRESSES).map(({address}) => address);
  }
  const turn = (nowMs / ROTATION_MS) % 1;
  const drawn = gateways
    .map(({address}, index) => {
      const at = (computeShare(`${caller}/${address}`) + turn) % 1;
      const share = shares[index] ?? 1;
      return {index, address, rank: at / share, isNamed: at < share};
    })
    .sort((a, b) => a.rank - b.rank || a.index - b.index);
  const named = drawn.filter(({isNamed}) => isNamed).length;
  const count = Math.min(MAX_ADDRESSES, Math.max(MIN_ADDRESSES, named));
  return drawn
    .slice(0, count)
    .sort((a, b) => a.index - b.index)
    .map(({address}) => address);
}

/**
 * Returns the share of callers to which each gateway is named: what its host bears
 * now, relative to the best one.
 */
export function computeShares(gateways: readonly Gateway[]): number[] {
  const ordinary = findOrdinary(gateways);
  const weights = gateways.map(
    ({capacity = ordinary, slowness = 0}) => capacity / 2 ** slowness,
  );
  const most = Math.max(...weights);
  return weights.map(weight => Math.max(MIN_SHARE, weight / most));
}

/**
 * Whether hosts bear differently. Deployments whose hosts are alike name all of them,
 * and their gateways need not watch their hosts.
 */
export function hasUnevenHosts(gateways: readonly Gateway[]): boolean {
  const capacities = gateways.flatMap(({capacity}) => capacity ?? []);
  return capacities.some(each => each !== capacities[0]);
}

/** The capacity of a host that reports none: the median of the others. */
function findOrdinary(gateways: readonly Gateway[]): number {
  const known = gateways
    .flatMap(({capacity}) => (capacity === undefined ? [] : [capacity]))
    .sort((a, b) => a - b);
  return known[Math.floor(known.length / 2)] ?? 1;
}
