/**
 * Estimates the prefill rate of an engine by a regression of the time to begin
 * an answer on its uncached prompt tokens.
 *
 * Most answers that are slow for their size waited for something that this
 * gateway cannot see, so slow samples weigh less than fast ones.
 */

/** The time that an idle engine takes to begin an answer. */
export interface PrefillRate {
  /** The time that does not depend on the prompt, in ms. */
  readonly fixedMs: number;
  /** The prefill time of a token, in ms. */
  readonly msPerToken: number;
}

/** Assumed for a model without enough samples. */
export const DEFAULT_RATE: PrefillRate = {fixedMs: 20, msPerToken: 0.02};

/** Factor by which each further sample reduces the weight of earlier ones. */
const DECAY = 0.98;

/** The weight of a sample slower than the estimate; others have weight 1. */
const SLOW_WEIGHT = 0.15;

/** The minimum number of samples for an estimate. */
const MIN_ANSWERS = 4;

/** Weighted sums for the regression. */
interface Sums {
  answers: number;
  weight: number;
  tokens: number;
  ms: number;
  squares: number;
  products: number;
}

export class PrefillRateEstimator {
  private readonly sums: Sums = {
    answers: 0,
    weight: 0,
    tokens: 0,
    ms: 0,
    squares: 0,
    products: 0,
  };

  /** Returns the current estimate. */
  getRate(): PrefillRate {
    const {answers, weight, tokens, ms, squares, products} = this.sums;
    if (answers < MIN_ANSWERS) return DEFAULT_RATE;
    const meanTokens = tokens / weight;
    const meanMs = ms / weight;
    const variance = squares / weight - meanTokens ** 2;
    const covariance = products / weight - meanTokens * meanMs;
    // The fixed part cannot be estimated from prompts of similar size.
    if (variance <= meanTokens ** 2 * 0.01 || covariance <= 0) {
      return {fixedMs: 0, msPerToken: meanMs / Math.max(1, meanTokens)};
    }
    const msPerToken = Math.min(
      covariance / variance,
      meanMs / Math.max(1, meanTokens),
    );
    return {fixedMs: meanMs - msPerToken * meanTokens, msPerToken};
  }

  /** Adds a sample: the time to begin an answer, and the tokens prefilled. */
  record(tokens: number, ms: number): void {
    const {fixedMs, msPerToken} = this.getRate();
    const isSlow =
      this.sums.answers >= MIN_ANSWERS && ms > fixedMs + msPerToken * tokens;
    const weight = isSlow ? SLOW_WEIGHT : 1;
    const {sums} = this;
    sums.answers++;
    sums.weight = sums.weight * DECAY + weight;
    sums.tokens = sums.tokens * DECAY + weight * tokens;
    sums.ms = sums.ms * DECAY + weight * ms;
    sums.squares = sums.squares * DECAY + weight * tokens ** 2;
    sums.products = sums.products * DECAY + weight * tokens * ms;
  }
}
