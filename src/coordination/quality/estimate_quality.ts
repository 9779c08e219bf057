/** Confidence bounds of a version's mean quality from ratings and a prior. */
import type {QualityEstimate} from './quality_estimate.ts';
import {
  computeVariance,
  countRatings,
  SCORE_BINS,
  type ScoreHistogram,
} from './score_histogram.ts';

/** The weight of the prior, in ratings. */
const PRIOR_WEIGHT = 10;

/** The variance of the prior, which dominates while ratings are few. */
const PRIOR_VARIANCE = 0.04;

/** Standard errors between the mean and a bound: 95% confidence, one-sided. */
const BOUND_STANDARD_ERRORS = 1.645;

/** The maximum by which ratings raise the mean above the declared quality. */
export const MAX_RISE = 0.1;

export interface EstimateQualityOptions {
  /** The declared quality, from 0 to 1. */
  readonly declared: number;
  /** The mean to expect before any ratings; the declared quality by default. */
  readonly prior?: number;
  readonly caveat?: string;
}

/**
 * Estimates the mean quality.
 *
 * Without ratings the lower bound equals the prior. Ratings move the mean away
 * from it, and the distance of the bounds follows from the standard error of
 * the ratings.
 */
export function estimateQuality(
  histogram: ScoreHistogram,
  {declared, prior = declared, caveat}: EstimateQualityOptions,
): QualityEstimate {
  const ratings = countRatings(histogram);
  const weight = ratings + PRIOR_WEIGHT;
  const rated = (histogram.sum + prior * PRIOR_WEIGHT) / weight;
  const ceiling = Math.min(1, declared + MAX_RISE);
  const mean = Math.min(rated, ceiling);
  const variance =
    (computeVariance(histogram) * ratings + PRIOR_VARIANCE * PRIOR_WEIGHT) /
    weight;
  const error =
    (BOUND_STANDARD_ERRORS * Math.sqrt(variance * ratings)) / weight;
  const capped = rated > ceiling ? 'ratings far above the declared' : undefined;
  const reason = caveat ?? capped;
  return {
    lower: Math.max(0, mean - error),
    mean,
    upper: ratings === 0 ? 1 : Math.min(1, mean + error),
    ratings,
    ...(reason === undefined ? {} : {caveat: reason}),
    estimatePass: minimumScore =>
      estimatePass(histogram, minimumScore, ceiling),
  };
}

/** Estimates the answers with a score of at least `minimumScore`. */
function estimatePass(
  histogram: ScoreHistogram,
  minimumScore: number,
  ceiling: number,
): {share: number; quality: number} {
  const total = countRatings(histogram);
  const first = Math.ceil(minimumScore * SCORE_BINS - 1e-9);
  let passed = 0;
  let sum = 0;
  for (let bin = Math.max(0, first); bin < SCORE_BINS; bin++) {
    const weight = histogram.bins[bin] ?? 0;
    passed += weight;
    sum += (weight * (bin + 0.5)) / SCORE_BINS;
  }
  if (passed === 0) return {share: 0, quality: 0};
  // The prior's weight lowers the share while there are few ratings.
  const share = passed / (total + PRIOR_WEIGHT);
  const quality = sum / passed;
  const floor = Math.max(minimumScore, ceiling);
  return {share, quality: Math.min(quality, floor)};
}
