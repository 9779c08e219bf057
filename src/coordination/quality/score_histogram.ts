/**
 * Sufficient statistics of ratings, of constant size, which can decay and be
 * merged.
 */
import * as z from 'zod';

/** The number of bins in a histogram of scores from 0 to 1. */
export const SCORE_BINS = 20;

/** The statistics of one version in one class, exchanged among gateways. */
export const scoreHistogramSchema = z.object({
  /** The weight of the ratings in each bin, lowest scores first. */
  bins: z.array(z.number().nonnegative()).length(SCORE_BINS),
  sum: z.number(),
  sumOfSquares: z.number(),
});

export type ScoreHistogram = z.infer<typeof scoreHistogramSchema>;

export function createScoreHistogram(): ScoreHistogram {
  return {bins: new Array(SCORE_BINS).fill(0), sum: 0, sumOfSquares: 0};
}

/** Adds a score from 0 to 1 with a weight. */
export function addScore(
  histogram: ScoreHistogram,
  score: number,
  weight = 1,
): void {
  const bin = Math.min(SCORE_BINS - 1, Math.floor(score * SCORE_BINS));
  histogram.bins[bin] = (histogram.bins[bin] ?? 0) + weight;
  histogram.sum += score * weight;
  histogram.sumOfSquares += score * score * weight;
}

/** Multiplies the weight of all ratings by `factor`. */
export function decayHistogram(
  histogram: ScoreHistogram,
  factor: number,
): void {
  histogram.bins = histogram.bins.map(weight => weight * factor);
  histogram.sum *= factor;
  histogram.sumOfSquares *= factor;
}

/** Returns the sum of histograms. */
export function mergeHistograms(
  histograms: Iterable<ScoreHistogram>,
): ScoreHistogram {
  const merged = createScoreHistogram();
  for (const each of histograms) {
    merged.bins = merged.bins.map(
      (weight, index) => weight + (each.bins[index] ?? 0),
    );
    merged.sum += each.sum;
    merged.sumOfSquares += each.sumOfSquares;
  }
  return merged;
}

/** Returns the total weight of all ratings. */
export function countRatings(histogram: ScoreHistogram): number {
  return histogram.bins.reduce((total, weight) => total + weight, 0);
}

/** Computes the variance of the scores; 0 without ratings. */
export function computeVariance(histogram: ScoreHistogram): number {
  const count = countRatings(histogram);
  if (count === 0) return 0;
  const mean = histogram.sum / count;
  return Math.max(0, histogram.sumOfSquares / count - mean * mean);
}
