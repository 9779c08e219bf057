/** Chooses the gateways that a caller is told of. */
import type {Gateway} from '../../protocol/core_service.ts';

/** The most addresses in one answer. */
const MAX_ADDRESSES = 64;

/** With fewer in its data centre, a caller is also told of its region's. */
const MIN_LOCAL = 2;

/**
 * Returns the open gateways with what one says of itself in place of what was
 * heard of it: that is older.
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
 * when one alone would take all callers, and all when there is none near.
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
