/**
 * A concurrency limit that follows the latency of first tokens.
 *
 * While first tokens come about as fast as they used to, the limit grows to
 * the pool's slots; when they slow down it shrinks in proportion.
 */

/** First tokens in one step of the limit. */
const STEP_SAMPLES = 20;

/** How much slower than usual first tokens may be without a reduction. */
const LATENCY_TOLERANCE = 2;

/** The most that one step takes from the limit. */
const MIN_GRADIENT = 0.7;

/** The least limit, as a share of the pool's slots. */
const MIN_SHARE = 0.25;

/** The weight of a step in what is usual, where it is slower. */
const BASELINE_RISE_WEIGHT = 0.02;

/** The weight of a step in what is usual, where it is faster. */
const BASELINE_FALL_WEIGHT = 0.3;

/** A limit as a share of the slots, so that it survives their change. */
export interface AdaptiveLimit {
  /** The limit for a pool with `slots`, at least 1. */
  compute(slots: number): number;
  /** Notes a first token, after `ms`. */
  record(ms: number): void;
}

/** Creates a limit that begins at all slots. */
export function createAdaptiveLimit(): AdaptiveLimit {
  let share = 1;
  let baselineMs: number | null = null;
  let sumMs = 0;
  let samples = 0;
  const updateShare = (meanMs: number) => {
    baselineMs ??= meanMs;
    const ratio = (LATENCY_TOLERANCE * baselineMs) / Math.max(meanMs, 1);
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    const growth = gradient === 1 ? 0.05 : 0;
    share = Math.min(1, Math.max(MIN_SHARE, share * gradient + growth));
    const weight =
      meanMs < baselineMs ? BASELINE_FALL_WEIGHT : BASELINE_RISE_WEIGHT;
    baselineMs += (meanMs - baselineMs) * weight;
  };
  return {
    compute: slots => Math.max(1, Math.floor(slots * share)),
    record(ms) {
      sumMs += ms;
      samples++;
      if (samples < STEP_SAMPLES) return;
      updateShare(sumMs / samples);
      sumMs = 0;
      samples = 0;
    },
  };
}
