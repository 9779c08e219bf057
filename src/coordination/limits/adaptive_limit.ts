/**
 * A concurrency limit that adapts to the time to first token.
 *
 * While the time to first token stays near its baseline, the limit grows up to
 * the pool's slots; when it rises, the limit shrinks in proportion.
 */

/** Samples that are averaged for one update of the limit. */
const STEP_SAMPLES = 20;

/** The multiple of the baseline above which the limit is reduced. */
const LATENCY_TOLERANCE = 2;

/** The smallest factor that one update applies to the limit. */
const MIN_GRADIENT = 0.7;

/** The lowest limit, as a share of the pool's slots. */
const MIN_SHARE = 0.25;

/** The weight of a sample mean above the baseline in its moving average. */
const BASELINE_RISE_WEIGHT = 0.02;

/** The weight of a sample mean below the baseline in its moving average. */
const BASELINE_FALL_WEIGHT = 0.3;

/** A limit held as a share of the slots, so that it scales with them. */
export interface AdaptiveLimit {
  /** Returns the limit for a pool with `slots`, at least 1. */
  compute(slots: number): number;
  /** Records a time to first token. */
  record(ms: number): void;
}

/** Creates a limit that starts at all slots. */
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
