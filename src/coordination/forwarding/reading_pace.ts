/**
 * Learns how long an engine takes to begin an answer, by the tokens that it has
 * to read: a fixed time, and a time for each token.
 *
 * Most answers that take longer than others of their size waited for something
 * that nobody here knows of, so slow ones weigh less than fast ones.
 */

/** How long an answer takes to begin that waits for nothing. */
export interface PrefillRate {
  /** Before the first token is read, in ms. */
  readonly fixedMs: number;
  /** For each token, in ms. */
  readonly msPerToken: number;
}

/** The pace of a model of which nothing is known. */
const DEFAULT_RATE: PrefillRate = {fixedMs: 20, msPerToken: 0.02};

/** The part of what was learned that each further answer leaves. */
const DECAY = 0.98;

/** How much a slow answer weighs, against a fast one. */
const SLOW_WEIGHT = 0.15;

/** Answers from which a pace is taken. */
const MIN_ANSWERS = 4;

/** Sums of a weighted regression of times on tokens. */
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

  /** The pace as far as it is known. */
  getRate(): PrefillRate {
    const {answers, weight, tokens, ms, squares, products} = this.sums;
    if (answers < MIN_ANSWERS) return DEFAULT_RATE;
    const meanTokens = tokens / weight;
    const meanMs = ms / weight;
    const variance = squares / weight - meanTokens ** 2;
    const covariance = products / weight - meanTokens * meanMs;
    // Sizes that hardly differ say nothing of the fixed part.
    if (variance <= meanTokens ** 2 * 0.01 || covariance <= 0) {
      return {fixedMs: 0, msPerToken: meanMs / Math.max(1, meanTokens)};
    }
    const msPerToken = Math.min(
      covariance / variance,
      meanMs / Math.max(1, meanTokens),
    );
    return {fixedMs: meanMs - msPerToken * meanTokens, msPerToken};
  }

  /** Notes how long an answer took to begin after so many tokens were read. */
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
