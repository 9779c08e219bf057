/** Estimates what an engine has to do before it can begin an answer. */

/** The reading that one attempt asks of an engine. */
export interface PrefillPlan {
  /** The tokens that it reads as far as known. */
  readonly uncachedTokens: number;
  /** How long it reads them, in ms. */
  readonly ms: number;
}

export interface PlanPrefillOptions {
  /** How sure the engine is to keep the shared part, from 0 to 1. */
  readonly cachedProbability: number;
  /** Tokens that the prompt shares with others. */
  readonly sharedTokens: number;
  /** Tokens that are the request's own. */
  readonly ownTokens: number;
  /** How long the engine reads a token, in ms. */
  readonly msPerToken: number;
}

/** Counts what an engine has to read of a prompt. */
export function planPrefill({
  cachedProbability,
  sharedTokens,
  ownTokens,
  msPerToken,
}: PlanPrefillOptions): PrefillPlan {
  const uncachedTokens = ownTokens + sharedTokens * (1 - cachedProbability);
  return {uncachedTokens, ms: uncachedTokens * msPerToken};
}
