/**
 * Splits request classes into buckets by prompt length, which is cheap to
 * determine for each request.
 */

/** The maximum prompt tokens of a short request. */
const SHORT_TOKENS = 300;

/** The maximum prompt tokens of a request of middle length. */
const MIDDLE_TOKENS = 1_500;

/** Formats the bucket that a prompt falls into, such as `letter#long`. */
export function formatClassBucket(
  requestClass: string,
  promptTokens: number,
): string {
  if (promptTokens <= SHORT_TOKENS) return `${requestClass}#short`;
  if (promptTokens <= MIDDLE_TOKENS) return `${requestClass}#middle`;
  return `${requestClass}#long`;
}
