/**
 * Divides the requests that a cold endpoint may get in one window among gateways.
 *
 * Each request of a window is a unit that one gateway holds. All gateways compute
 * the holders from the list of gateways alone. Of two gateways that know each
 * other, no matter what else their lists contain, both compute the same order, and
 * a longer list only takes units away from a gateway. So the units that gateways
 * hold do not exceed the total as long as each of them knows all others that hold
 * units.
 */
import type {Gateway} from '../../protocol/core_service.ts';
import {computeShare} from '../forwarding/hash.ts';
import {computeDistance} from '../membership/compute_distance.ts';

/**
 * How many steps of distance a further unit of one gateway weighs. Gateways get few
 * requests each, so more holders use more of the total than holders of more units.
 */
const STEPS_PER_UNIT = 2;

export interface ComputeUnitsOptions {
  readonly gateways: readonly Gateway[];
  /** The address of this gateway. */
  readonly address: string;
  readonly endpoint: {readonly id: string} & Pick<
    Gateway,
    'region' | 'dataCentre'
  >;
  /** How many units there are. */
  readonly total: number;
}

interface Candidate {
  readonly address: string;
  readonly distance: number;
  readonly stage: number;
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
  total,
}: ComputeUnitsOptions): number[] {
  const candidates: Candidate[] = [];
  for (const gateway of gateways) {
    const distance = computeDistance(endpoint, gateway);
    const hash = computeShare(`${gateway.address}/${endpoint.id}`);
    for (let unit = 0; unit < total; unit++) {
      const stage = unit * STEPS_PER_UNIT + distance;
      candidates.push({address: gateway.address, distance, stage, hash});
    }
  }
  candidates.sort(compareCandidates);
  const positions: number[] = [];
  for (const [position, candidate] of candidates.slice(0, total).entries()) {
    if (candidate.address === address) positions.push(position);
  }
  return positions;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  if (a.stage !== b.stage) return a.stage - b.stage;
  if (a.distance !== b.distance) return a.distance - b.distance;
  if (a.hash !== b.hash) return b.hash - a.hash;
  return a.address < b.address ? -1 : 1;
}
