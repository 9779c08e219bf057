/** Random identifiers for requests, attempts and incarnations. */
import {randomFillSync} from 'node:crypto';

/** Bytes of randomness in an identifier: enough never to repeat. */
const IDENTIFIER_BYTES = 12;

/** Bytes of randomness that are drawn at once, since a draw is dear. */
const POOL_BYTES = 512 * IDENTIFIER_BYTES;

const pool = Buffer.alloc(POOL_BYTES);
let used = POOL_BYTES;

/**
 * Creates an identifier such as `req_1f0c…`.
 *
 * @param prefix Says what is identified, `req` for a request.
 */
export function createIdentifier(prefix: string): string {
  if (used === POOL_BYTES) {
    randomFillSync(pool);
    used = 0;
  }
  const random = pool.toString('hex', used, used + IDENTIFIER_BYTES);
  used += IDENTIFIER_BYTES;
  return `${prefix}_${random}`;
}
