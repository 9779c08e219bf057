/** Estimates how much demand a placement cannot serve. */
import type {PlacementEndpoint, PlacementVersion} from './plan_placement.ts';

/** The share of an endpoint's slots that can be used with good latency. */
const USABLE_SHARE = 0.95;

/**
 * Computes the concurrent requests for which there is no slot.
 *
 * Versions with the fewest copies are assigned first, to the endpoints with
 * the most free slots, which approximates routing by load.
 */
export function computeUnserved(
  endpoints: readonly PlacementEndpoint[],
  versions: readonly PlacementVersion[],
): number {
  const free = new Map(
    endpoints.map(each => [each.name, each.slots * USABLE_SHARE]),
  );
  const holders = new Map(
    versions.map(({name}) => [
      name,
      endpoints.filter(each => each.versions.includes(name)),
    ]),
  );
  const order = versions
    .filter(each => each.usable && each.demand > 0)
    .sort(
      (a, b) =>
        (holders.get(a.name)?.length ?? 0) - (holders.get(b.name)?.length ?? 0),
    );
  let unserved = 0;
  for (const {name, demand} of order) {
    unserved += assignDemand(holders.get(name) ?? [], free, demand);
  }
  return unserved;
}

/** Assigns `demand` to free slots and returns the remainder. */
function assignDemand(
  holders: readonly PlacementEndpoint[],
  free: Map<string, number>,
  demand: number,
): number {
  const getFreeSlots = (each: PlacementEndpoint) => free.get(each.name) ?? 0;
  let left = demand;
  for (const holder of [...holders].sort(
    (a, b) => getFreeSlots(b) - getFreeSlots(a),
  )) {
    const taken = Math.min(left, getFreeSlots(holder));
    free.set(holder.name, getFreeSlots(holder) - taken);
    left -= taken;
  }
  return left;
}
