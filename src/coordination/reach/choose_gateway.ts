/** Chooses the gateway to which a request is relayed. */
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {computeDistance} from '../membership/compute_distance.ts';

/**
 * Avoided gateways of a data centre from which on the others there come last: a
 * data centre may be cut off as a whole.
 */
const SUSPECTED_CENTRE = 2;

export interface ChooseGatewayOptions {
  /** The place of this gateway. */
  readonly region: string;
  readonly dataCentre: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Whether a gateway lately could not serve a relayed request. */
  readonly isAvoided: (gateway: Gateway) => boolean;
  /** Whether a gateway served a relayed request and was not avoided since. */
  readonly isProven: (gateway: Gateway) => boolean;
  /** Counts the requests that this gateway has open at another one. */
  readonly countOpen: (gateway: Gateway) => number;
  /** Requests that this gateway has open at another one at most. */
  readonly maxOpen: number;
}

/** Returns a near gateway with few requests open; `null` if there is none. */
export function chooseGateway(
  gateways: readonly Gateway[],
  options: ChooseGatewayOptions,
): Gateway | null {
  const {random, isAvoided, isProven, countOpen, maxOpen} = options;
  const avoided = gateways.filter(isAvoided);
  const countAvoided = ({dataCentre}: Gateway) =>
    avoided.filter(each => each.dataCentre === dataCentre).length;
  const [best] = gateways
    .filter(each => !isAvoided(each) && countOpen(each) < maxOpen)
    .map(gateway => ({
      gateway,
      isSuspected: countAvoided(gateway) >= SUSPECTED_CENTRE ? 1 : 0,
      distance: computeDistance(options, gateway),
      isProven: isProven(gateway) ? 0 : 1,
      open: countOpen(gateway),
      rank: random(),
    }))
    .sort(
      (a, b) =>
        a.isSuspected - b.isSuspected ||
        a.distance - b.distance ||
        a.isProven - b.isProven ||
        a.open - b.open ||
        a.rank - b.rank,
    );
  return best?.gateway ?? null;
}
