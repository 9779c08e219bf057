/** What is known of a version's quality. */

/** What is known of the quality of a version in a class of requests. */
export interface QualityEstimate {
  /** A lower confidence bound of the mean, from 0 to 1. */
  readonly lower: number;
  readonly mean: number;
  /** An upper confidence bound of the mean, from 0 to 1. */
  readonly upper: number;
  /** The weight of the ratings behind it, the prior left out. */
  readonly ratings: number;
  /** Present where the ratings were not taken at their word. */
  readonly caveat?: string;
  /** What a release at `minimumScore` or more lets through. */
  estimatePass(minimumScore: number): PassEstimate;
}

/** The answers of a version whose score reaches a threshold. */
export interface PassEstimate {
  /** Their share of all answers, from 0 to 1. */
  readonly share: number;
  /** Their mean quality, from 0 to 1. */
  readonly quality: number;
}
