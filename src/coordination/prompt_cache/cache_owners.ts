/**
 * Chooses the engines that cache a prompt prefix by rendezvous hashing, so that
 * all gateways agree on them without coordination.
 */
import {crc32} from 'node:zlib';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** The first and second owner of a prefix; `null` if there are not as many. */
export interface CacheOwners {
  readonly first: EndpointEntry | null;
  readonly second: EndpointEntry | null;
}

/** The most endpoint ids whose hashes are kept. */
const MAX_HASHES = 4_096;

const hashes = new Map<string, number>();

/** Chooses the owners of a prefix among endpoints. */
export function chooseCacheOwners(
  endpoints: readonly EndpointEntry[],
  key: string,
): CacheOwners {
  const prefix = crc32(key);
  let [first, second]: Array<EndpointEntry | null> = [null, null];
  let [highest, next] = [-1, -1];
  for (const endpoint of endpoints) {
    const rank = mix(hashId(endpoint.id) ^ prefix);
    if (rank > highest) {
      [second, next] = [first, highest];
      [first, highest] = [endpoint, rank];
    } else if (rank > next) {
      [second, next] = [endpoint, rank];
    }
  }
  return {first: first ?? null, second: second ?? null};
}

function hashId(id: string): number {
  const known = hashes.get(id);
  if (known !== undefined) return known;
  if (hashes.size >= MAX_HASHES) hashes.clear();
  const hash = mix(crc32(id));
  hashes.set(id, hash);
  return hash;
}

/** Spreads the bits of a 32-bit number, as the end of MurmurHash3 does. */
function mix(bits: number): number {
  let mixed = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
