/** Chooses the answers that are sent to the rating service. */
import type {Clock} from '../../protocol/clock.ts';
import type {QualityEstimate} from './quality_estimate.ts';

export interface RatingSamplerOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Ratings that the gateway may ask for each second; 5 by default. */
  readonly ratingsPerSecond?: number;
  /** Ratings that may be asked for at once; 20 by default. */
  readonly burst?: number;
}

/** Ratings at which a version is known well. */
const ENOUGH_RATINGS = 50;

/** The share of answers that is rated of a version that is known well. */
const MIN_SHARE = 0.1;

/** Decides which answers are rated. */
export interface RatingSampler {
  /** @param isCandidate True for a candidate of a roll-out: all are wanted. */
  shouldRate(estimate: QualityEstimate, isCandidate: boolean): boolean;
}

/** Creates a sampler that spends its budget on what is known least. */
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
