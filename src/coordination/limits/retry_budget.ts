/**
 * A budget of extra attempts: a share of the first attempts and no more.
 *
 * Retries and hedges each have one, so that a failing pool is not hit by a
 * multiple of its usual load.
 */

/** A budget from which each extra attempt takes a token. */
export interface RetryBudget {
  /** Notes a first attempt. */
  deposit(): void;
  /** Takes a token for an extra attempt; false when none is left. */
  tryTake(): boolean;
}

export interface RetryBudgetOptions {
  /** Extra attempts for each first attempt; 0.1 by default. */
  readonly ratio?: number;
  /** Tokens that an idle gateway holds; 10 by default. */
  readonly capacity?: number;
}

/** Creates a full budget. */
export function createRetryBudget({
  ratio = 0.1,
  capacity = 10,
}: RetryBudgetOptions = {}): RetryBudget {
  let tokens = capacity;
  return {
    deposit() {
      tokens = Math.min(capacity, tokens + ratio);
    },
    tryTake() {
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
  };
}
