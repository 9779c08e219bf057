/**
 * Estimates a ratio, such as that of measured to expected times, from samples
 * that are at times far too long.
 */

/** What is known of the time that work takes, in relation to the usual time. */
export interface TimeFactor {
  /** Above 1: work takes longer than usual. */
  readonly factor: number;
  /** The standard deviation of the factor. */
  readonly spread: number;
}

/** The factor of an endpoint of which nothing else is known. */
export const USUAL_TIME: TimeFactor = {factor: 1, spread: 0};

/** The weight of a sample above the estimate; it may have waited in a queue. */
const LONG_WEIGHT = 0.5;

/** The most that one sample counts for, in units of the logarithm. */
const MAX_DEVIATION = 0.5;

/** The smallest part of its deviation by which a sample moves the estimate. */
const MIN_GAIN = 0.06;

/** Samples beyond this number do not make the estimate more certain. */
const MAX_SAMPLES = 30;

/** The number of samples that the assumption of a usual speed is worth. */
const PRIOR_SAMPLES = 3;

/** The standard deviation of one sample, in units of the logarithm. */
const SAMPLE_SPREAD = 0.3;

/**
 * The time in which samples lose most of their weight, in ms. An endpoint that
 * gets little because it was slow is tried again after some time.
 */
const FORGET_MS = 60_000;

/** Smaller logarithms of factors are taken for noise. */
const NOISE = 0.05;

/** Bounds of the logarithm of an estimate: factors from 0.45 to 2.2. */
const MAX_LOG = 0.8;

/** A running estimate of a factor. */
export class TimeFactorEstimator {
  private log = 0;
  private samples = 0;
  private recordedAt = -Infinity;

  /** Adds a sample. */
  record(ratio: number, now: number): void {
    const samples = this.countSamples(now);
    const deviation = Math.log(ratio) - this.log;
    const bounded = Math.max(
      -MAX_DEVIATION,
      Math.min(MAX_DEVIATION, deviation),
    );
    const gain = Math.max(MIN_GAIN, 1 / (samples + 1));
    this.log += gain * bounded * (deviation > 0 ? LONG_WEIGHT : 1);
    this.log = Math.max(-MAX_LOG, Math.min(MAX_LOG, this.log));
    this.samples = Math.min(MAX_SAMPLES, samples + 1);
    this.recordedAt = now;
  }

  /** Returns the estimate, nearer to 1 the fewer samples there are. */
  estimate(now: number): TimeFactor {
    const samples = this.countSamples(now);
    const log = (this.log * samples) / (samples + PRIOR_SAMPLES);
    const factor = Math.abs(log) < NOISE ? 1 : Math.exp(log);
    const spread = SAMPLE_SPREAD / Math.sqrt(samples + PRIOR_SAMPLES);
    return {factor, spread: factor * spread};
  }

  /** The number of samples, of which old ones count less. */
  private countSamples(now: number): number {
    if (this.samples === 0) return 0;
    return this.samples * Math.exp((this.recordedAt - now) / FORGET_MS);
  }
}
