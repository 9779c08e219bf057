/**
 * Divides the requests that a cold endpoint may get in one window among gateways.
 *
 * Each request of a window is a unit that one gateway holds. All gateways compute
 * the holders from the list of gateways alone. Of two gateways that know each
 * other, no matter what else their lists contain, both compute the same order, and
 * a longer list only takes units away from a gateway. So the units that gateways
 * hold do not exceed the total as long as each of them knows all others that hold
 * units. A gateway without requests comes late. Once it has some, it counts itself
 * as idle until the others know, so that none counts it for less than it does itself.
 */
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {computeShare} from '../forwarding/hash.ts';
import {computeDistance} from '../membership/compute_distance.ts';

/**
 * How many steps of distance a further unit of one gateway weighs. Gateways get few
 * requests each, so more holders use more of the total than holders of more units.
 */
const STEPS_PER_UNIT = 2;

/** The steps of distance that a gateway without requests is further away. */
const IDLE_STEPS = 4;

export interface ComputeUnitsOptions {
  readonly gateways: readonly Gateway[];
  /** The address of this gateway. */
  readonly address: string;
  readonly endpoint: {readonly id: string} & Pick<
    Gateway,
    'region' | 'dataCentre'
  >;
  /** Whether another gateway may take this one for idle. */
  readonly isIdle: boolean;
  /** How many units there are. */
  readonly total: number;
}

interface Candidate {
  readonly address: string;
  readonly distance: number;
  readonly hash: number;
}

/**
 * Returns the positions of this gateway's units among all units, from 0 up to the
 * total; none if it holds none.
 */
export function computeUnits({
  gateways,
  address,
  endpoint,
  isIdle,
  total,
}: ComputeUnitsOptions): number[] {
  const candidates = gateways.map(gateway => ({
    address: gateway.address,
    distance:
      computeDistance(endpoint, gateway) +
      ((gateway.address === address ? isIdle : gateway.idle) ? IDLE_STEPS : 0),
    hash: computeShare(`${gateway.address}/${endpoint.id}`),
  }));
  const own = candidates.find(each => each.address === address);
  if (!own) return [];
  const positions: number[] = [];
  for (let unit = 0; unit < total; unit++) {
    const position = candidates.reduce(
      (sum, other) => sum + countBefore(other, own, unit),
      0,
    );
    // Later units come later still.
    if (position >= total) break;
    positions.push(position);
  }
  return positions;
}

/** Counts the units of a gateway, itself included, that come before one of `own`. */
function countBefore(other: Candidate, own: Candidate, unit: number): number {
  if (other === own) return unit;
  // A unit comes the later, the further away its gateway is and the more it has.
  const steps = unit * STEPS_PER_UNIT + own.distance - other.distance;
  if (steps < 0) return 0;
  const earlier = Math.ceil(steps / STEPS_PER_UNIT);
  const isTie = steps % STEPS_PER_UNIT === 0;
  return isTie && isBefore(other, own) ? earlier + 1 : earlier;
}

function isBefore(a: Candidate, b: Candidate): boolean {
  if (a.distance !== b.distance) return a.distance < b.distance;
  if (a.hash !== b.hash) return a.hash > b.hash;
  return a.address < b.address;
}
