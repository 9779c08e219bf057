/** Hashes that all gateways agree on without talking. */
import {crc32} from 'node:zlib';

/** Maps a text to a number from 0 up to 1, evenly. */
export function computeShare(text: string): number {
  // A second multiplication spreads texts that differ in their last letters.
  const mixed = Math.imul(crc32(text) ^ 0x9e3779b9, 0x85ebca6b) >>> 0;
  return mixed / 2 ** 32;
}
