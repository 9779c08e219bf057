/** Estimates of the quality of versions. */

/** The estimated quality of a version in a request class. */
export interface QualityEstimate {
  /** A lower confidence bound of the mean, from 0 to 1. */
  readonly lower: number;
  readonly mean: number;
  /** An upper confidence bound of the mean, from 0 to 1. */
  readonly upper: number;
  /** The total weight of the ratings, without the prior. */
  readonly ratings: number;
  /** The reason why ratings were capped or down-weighted, if they were. */
  readonly caveat?: string;
  /** Estimates the answers that score `minimumScore` or more. */
  estimatePass(minimumScore: number): PassEstimate;
}

/** The estimated answers of a version whose score reaches a threshold. */
export interface PassEstimate {
  /** Their share of all answers, from 0 to 1. */
  readonly share: number;
  /** Their mean quality, from 0 to 1. */
  readonly quality: number;
}
