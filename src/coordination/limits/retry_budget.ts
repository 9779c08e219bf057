/**
 * A token bucket that limits extra attempts to a share of first attempts.
 *
 * Retries and hedged attempts each have one, so that retries do not multiply
 * the load of a failing pool.
 */

/** A budget from which each extra attempt takes a token. */
export interface RetryBudget {
  /** Records a first attempt. */
  deposit(): void;
  /** Takes a token for an extra attempt; returns false if none is left. */
  tryTake(): boolean;
}

export interface RetryBudgetOptions {
  /** Extra attempts per first attempt; 0.1 by default. */
  readonly ratio?: number;
  /** The maximum of saved tokens; 10 by default. */
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
