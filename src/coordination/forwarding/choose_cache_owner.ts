/** Chooses the endpoint that caches a prompt prefix. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {computeShare} from './hash.ts';

/**
 * Chooses the endpoint that caches a prompt prefix by rendezvous hashing, so
 * that all gateways agree on it without coordination.
 */
export function chooseCacheOwner(
  endpoints: readonly EndpointEntry[],
  cacheKey: string,
): EndpointEntry | null {
  let owner: EndpointEntry | null = null;
  let highest = -1;
  for (const endpoint of endpoints) {
    const rank = computeShare(`${endpoint.id}/${cacheKey}`);
    if (rank <= highest) continue;
    owner = endpoint;
    highest = rank;
  }
  return owner;
}
