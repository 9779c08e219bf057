/** Estimates what an engine has to do before it can begin an answer. */

/** The reading that one attempt asks of an engine. */
export interface ReadingPlan {
  /** The tokens that it reads as far as known. */
  readonly unreadTokens: number;
  /** How long it reads them, in ms. */
  readonly ms: number;
}

export interface PlanReadingOptions {
  /** How sure the engine is to keep the shared part, from 0 to 1. */
  readonly keepsPrompt: number;
  /** Tokens that the prompt shares with others. */
  readonly sharedTokens: number;
  /** Tokens that are the request's own. */
  readonly ownTokens: number;
  /** How long the engine reads a token, in ms. */
  readonly tokenMs: number;
}

/** Counts what an engine has to read of a prompt. */
export function planReading({
  keepsPrompt,
  sharedTokens,
  ownTokens,
  tokenMs,
}: PlanReadingOptions): ReadingPlan {
  const unreadTokens = ownTokens + sharedTokens * (1 - keepsPrompt);
  return {unreadTokens, ms: unreadTokens * tokenMs};
}
