/** Estimates how much demand a placement cannot serve. */
import type {PlacementEndpoint, PlacementVersion} from './plan_placement.ts';

/** The share of an endpoint's slots that may be filled for good latency. */
const USABLE_SHARE = 0.95;

/**
 * Returns the requests at once that find no slot.
 *
 * Versions with the fewest copies take their slots first, on the endpoints
 * with the most room: near to what routing by load does.
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

/** Takes slots for `demand` and returns what found none. */
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
