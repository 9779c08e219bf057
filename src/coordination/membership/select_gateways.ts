/** Selects the gateways that are near a caller. */
import type {Gateway} from '../../protocol/gateway_entry.ts';

/** With fewer in its data centre, a caller also gets those of its region. */
const MIN_LOCAL = 2;

/** One that is slower by this than the best of the region does not count for that. */
const FAR_SLOWER = 2;

/**
 * Returns the open gateways with the entry of `self` replaced by its current
 * state, since the listed one is older.
 */
export function replaceGateway(
  gateways: readonly Gateway[],
  self: Gateway,
): Gateway[] {
  const others = gateways.filter(({address}) => address !== self.address);
  return self.open ? [...others, self] : others;
}

export interface CallerPlace {
  readonly region: string;
  readonly dataCentre: string;
}

/**
 * Returns the gateways of the caller's data centre; those of its region too
 * if a single one would get all callers, or nearly all; and all if the region has
 * none.
 */
export function selectGateways(
  gateways: readonly Gateway[],
  place: CallerPlace,
): Gateway[] {
  const near = gateways.filter(each => each.dataCentre === place.dataCentre);
  const region = gateways.filter(each => each.region === place.region);
  const least = Math.min(...region.map(({slowness = 0}) => slowness));
  const bearing = near.filter(
    ({slowness = 0}) => slowness - least < FAR_SLOWER,
  );
  if (bearing.length >= MIN_LOCAL) return near;
  return region.length > 0 ? region : [...gateways];
}
