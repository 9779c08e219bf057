/** Random identifiers for requests, attempts and incarnations. */
import {randomFillSync} from 'node:crypto';

/** Random bytes in an identifier: enough to make collisions negligible. */
const IDENTIFIER_BYTES = 12;

/** Random bytes generated at a time, since each generation is expensive. */
const RANDOM_BUFFER_BYTES = 512 * IDENTIFIER_BYTES;

const randomBuffer = Buffer.alloc(RANDOM_BUFFER_BYTES);
let usedBytes = RANDOM_BUFFER_BYTES;

/**
 * Creates an identifier such as `req_1f0c…`.
 *
 * @param prefix The kind of identifier, such as `req` for a request.
 */
export function createIdentifier(prefix: string): string {
  if (usedBytes === RANDOM_BUFFER_BYTES) {
    randomFillSync(randomBuffer);
    usedBytes = 0;
  }
  const random = randomBuffer.toString(
    'hex',
    usedBytes,
    usedBytes + IDENTIFIER_BYTES,
  );
  usedBytes += IDENTIFIER_BYTES;
  return `${prefix}_${random}`;
}
