/** Exact probabilities of counts. */

export interface BinomialCount {
  readonly count: number;
  readonly trials: number;
  /** The probability of each trial, 0 to 1. */
  readonly share: number;
}

/** Computes the probability of at least `count` among the trials. */
export function computeUpperTail({
  count,
  trials,
  share,
}: BinomialCount): number {
  if (count <= 0) return 1;
  if (share <= 0) return 0;
  if (share >= 1) return 1;
  // Logarithms keep the terms of thousands of trials in range.
  let logTerm = trials * Math.log1p(-share);
  let below = 0;
  for (let k = 0; k < count; k++) {
    below += Math.exp(logTerm);
    logTerm +=
      Math.log((trials - k) / (k + 1)) + Math.log(share) - Math.log1p(-share);
  }
  return Math.max(0, 1 - below);
}
