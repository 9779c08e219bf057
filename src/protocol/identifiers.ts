/** Random identifiers for requests, attempts and incarnations. */
import {randomFillSync} from 'node:crypto';

/** Bytes of randomness in an identifier: enough never to repeat. */
const IDENTIFIER_BYTES = 12;

/** Bytes of randomness that are drawn at once, since a draw is dear. */
const RANDOM_BUFFER_BYTES = 512 * IDENTIFIER_BYTES;

const randomBuffer = Buffer.alloc(RANDOM_BUFFER_BYTES);
let usedBytes = RANDOM_BUFFER_BYTES;

/**
 * Creates an identifier such as `req_1f0c…`.
 *
 * @param prefix Says what is identified, `req` for a request.
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
