/** Splits a class of requests by what can be seen of a request for little. */

/** The most prompt tokens of a short request. */
const SHORT_TOKENS = 300;

/** The most prompt tokens of a request of middle length. */
const MIDDLE_TOKENS = 1_500;

/** Names the part of a class that a prompt falls into, as `letter#long`. */
export function nameRequestPart(
  requestClass: string,
  promptTokens: number,
): string {
  if (promptTokens <= SHORT_TOKENS) return `${requestClass}#short`;
  if (promptTokens <= MIDDLE_TOKENS) return `${requestClass}#middle`;
  return `${requestClass}#long`;
}
