/** Selects the gateways to list for a caller. */
import type {Gateway} from '../../protocol/core_service.ts';

/** The maximum number of addresses in one answer. */
const MAX_ADDRESSES = 64;

/** With fewer in its data centre, a caller also gets those of its region. */
const MIN_LOCAL = 2;

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
 * if a single one would get all callers; and all if the region has none.
 */
export function selectGateways(
  gateways: readonly Gateway[],
  place: CallerPlace,
): string[] {
  const near = gateways.filter(each => each.dataCentre === place.dataCentre);
  const region = gateways.filter(each => each.region === place.region);
  const chosen =
    near.length >= MIN_LOCAL ? near : region.length > 0 ? region : gateways;
  return chosen.map(({address}) => address).slice(0, MAX_ADDRESSES);
}
