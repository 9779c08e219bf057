/**
 * Draws the few endpoints that are looked at for one attempt.
 *
 * Gateways read the same reports, some time after they were true: if each looked
 * at all endpoints, all would choose the one that was idle then.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** How many are looked at in the gateway's data centre, and as many elsewhere. */
const LOOKED_AT = 6;

export interface DrawEndpointsOptions {
  /** Of the gateway. */
  readonly dataCentre: string;
  /** Whether an endpoint is always looked at: it keeps the prompt. */
  readonly isKeeper: (endpoint: EndpointEntry) => boolean;
  /** Whether an endpoint can be used now. Others are drawn without one such. */
  readonly isSound: (endpoint: EndpointEntry) => boolean;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** Returns a few endpoints, near ones and others. */
export function drawEndpoints(
  endpoints: readonly EndpointEntry[],
  {dataCentre, isKeeper, isSound, random}: DrawEndpointsOptions,
): EndpointEntry[] {
  const sound = endpoints.filter(isSound);
  const pool = sound.length > 0 ? sound : endpoints;
  const near = pool.filter(each => each.dataCentre === dataCentre);
  const far = pool.filter(each => each.dataCentre !== dataCentre);
  const drawn = new Set([
    ...pool.filter(isKeeper),
    ...drawSome(near, random),
    ...drawSome(far, random),
  ]);
  return [...drawn];
}

function drawSome<T>(items: readonly T[], random: () => number): T[] {
  const left = [...items];
  if (left.length <= LOOKED_AT) return left;
  return Array.from({length: LOOKED_AT}, () => {
    const [item] = left.splice(Math.floor(random() * left.length), 1);
    return item as T;
  });
}
