/** Samples the answers that are sent to the rating service. */
import type {Clock} from '../../protocol/clock.ts';
import type {QualityEstimate} from './quality_estimate.ts';

export interface RatingSamplerOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Rate limit of the token bucket; 5 by default. */
  readonly ratingsPerSecond?: number;
  /** Capacity of the token bucket; 20 by default. */
  readonly burst?: number;
}

/** The number of ratings at which sampling falls to its minimum share. */
const ENOUGH_RATINGS = 50;

/** The share of answers that is rated for a version with enough ratings. */
const MIN_SHARE = 0.1;

/** Selects the answers to rate. */
export interface RatingSampler {
  /** @param isCandidate Whether to rate all answers, within the rate limit. */
  shouldRate(estimate: QualityEstimate, isCandidate: boolean): boolean;
}

/**
 * Creates a sampler that rates a version less often the more ratings it has,
 * within a rate limit.
 */
export function createRatingSampler({
  clock,
  random,
  ratingsPerSecond = 5,
  burst = 20,
}: RatingSamplerOptions): RatingSampler {
  let tokens = burst;
  let refilledAt = clock.monotonic();
  return {
    shouldRate(estimate, watched) {
      const now = clock.monotonic();
      const refill = ((now - refilledAt) / 1_000) * ratingsPerSecond;
      tokens = Math.min(burst, tokens + refill);
      refilledAt = now;
      const share = watched
        ? 1
        : Math.max(MIN_SHARE, 1 - estimate.ratings / ENOUGH_RATINGS);
      if (tokens < 1 || random() >= share) return false;
      tokens--;
      return true;
    },
  };
}
