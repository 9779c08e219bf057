/**
 * Samples the endpoints that are compared for one attempt.
 *
 * All gateways act on the same reports, which are out of date when they arrive.
 * If each compared all endpoints, all would choose the one reported as idle.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** Sample size in the gateway's data centre, and again outside of it. */
const SAMPLE_SIZE = 6;

export interface DrawEndpointsOptions {
  /** The gateway's data centre. */
  readonly dataCentre: string;
  /** Whether it may have the prompt prefix cached; included if usable. */
  readonly hasCachedPrompt: (endpoint: EndpointEntry) => boolean;
  /** Whether it is usable now. Others are drawn only if none is. */
  readonly isUsable: (endpoint: EndpointEntry) => boolean;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** Returns a sample of the endpoints, local and remote. */
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
