/** Estimates the prefill of an attempt. */

/** The prefill that one attempt needs at an engine. */
export interface PrefillPlan {
  /** The expected prompt tokens that are not cached. */
  readonly uncachedTokens: number;
  /** The time to prefill them, in ms. */
  readonly ms: number;
}

export interface PlanPrefillOptions {
  /** The probability that the engine has the shared prefix cached, 0 to 1. */
  readonly cachedProbability: number;
  /** Tokens of the prefix that the prompt shares with others. */
  readonly sharedTokens: number;
  /** Tokens that only this prompt has. */
  readonly ownTokens: number;
  /** The engine's prefill rate. */
  readonly msPerToken: number;
}

/** Estimates the uncached tokens of a prompt and their prefill time. */
export function planPrefill({
  cachedProbability,
  sharedTokens,
  ownTokens,
  msPerToken,
}: PlanPrefillOptions): PrefillPlan {
  const uncachedTokens = Math.max(
    0,
    ownTokens + sharedTokens * (1 - cachedProbability),
  );
  return {uncachedTokens, ms: uncachedTokens * msPerToken};
}
