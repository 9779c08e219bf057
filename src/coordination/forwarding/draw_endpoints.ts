/**
 * Draws the few endpoints that are looked at for one attempt.
 *
 * Gateways read the same reports, some time after they were true: if each looked
 * at all endpoints, all would choose the one that was idle then.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** How many are looked at in the gateway's data centre, and as many elsewhere. */
const SAMPLE_SIZE = 6;

export interface DrawEndpointsOptions {
  /** Of the gateway. */
  readonly dataCentre: string;
  /** Whether an endpoint is always looked at: it keeps the prompt. */
  readonly hasCachedPrompt: (endpoint: EndpointEntry) => boolean;
  /** Whether an endpoint can be used now. Others are drawn without one such. */
  readonly isUsable: (endpoint: EndpointEntry) => boolean;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** Returns a few endpoints, near ones and others. */
export function drawEndpoints(
  endpoints: readonly EndpointEntry[],
  {dataCentre, hasCachedPrompt, isUsable, random}: DrawEndpointsOptions,
): EndpointEntry[] {
  const usable = endpoints.filter(isUsable);
  const pool = usable.length > 0 ? usable : endpoints;
  const near = pool.filter(each => each.dataCentre === dataCentre);
  const far = pool.filter(each => each.dataCentre !== dataCentre);
  const drawn = new Set([
    ...pool.filter(hasCachedPrompt),
    ...drawSample(near, random),
    ...drawSample(far, random),
  ]);
  return [...drawn];
}

function drawSample<T>(items: readonly T[], random: () => number): T[] {
  const remaining = [...items];
  if (remaining.length <= SAMPLE_SIZE) return remaining;
  return Array.from({length: SAMPLE_SIZE}, () => {
    const [item] = remaining.splice(Math.floor(random() * remaining.length), 1);
    return item as T;
  });
}
