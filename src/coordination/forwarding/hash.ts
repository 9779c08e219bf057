/** A hash by which all gateways make the same choice without coordination. */
import {crc32} from 'node:zlib';

/** Maps a text to a uniformly distributed number in [0, 1). */
export function computeShare(text: string): number {
  // CRC-32 alone spreads texts that differ only in their last letters poorly.
  const mixed = Math.imul(crc32(text) ^ 0x9e3779b9, 0x85ebca6b) >>> 0;
  return mixed / 2 ** 32;
}
