/**
 * A concurrency limit that follows the latency of first tokens.
 *
 * While first tokens come about as fast as they used to, the limit grows to
 * the pool's slots; when they slow down it shrinks in proportion.
 */

/** First tokens in one step of the limit. */
const STEP_SAMPLES = 20;

/** How much slower than usual first tokens may be without a reduction. */
const TOLERANCE = 2;

/** The most that one step takes from the limit. */
const STRONGEST_CUT = 0.7;

/** The least limit, as a share of the pool's slots. */
const FLOOR_SHARE = 0.25;

/** The weight of a step in what is usual, where it is slower. */
const SLOWER_WEIGHT = 0.02;

/** The weight of a step in what is usual, where it is faster. */
const FASTER_WEIGHT = 0.3;

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
  let usualMs: number | null = null;
  let sumMs = 0;
  let samples = 0;
  const step = (meanMs: number) => {
    usualMs ??= meanMs;
    const ratio = (TOLERANCE * usualMs) / Math.max(meanMs, 1);
    const gradient = Math.min(1, Math.max(STRONGEST_CUT, ratio));
    const growth = gradient === 1 ? 0.05 : 0;
    share = Math.min(1, Math.max(FLOOR_SHARE, share * gradient + growth));
    const weight = meanMs < usualMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    usualMs += (meanMs - usualMs) * weight;
  };
  return {
    compute: slots => Math.max(1, Math.floor(slots * share)),
    record(ms) {
      sumMs += ms;
      samples++;
      if (samples < STEP_SAMPLES) return;
      step(sumMs / samples);
      sumMs = 0;
      samples = 0;
    },
  };
}
