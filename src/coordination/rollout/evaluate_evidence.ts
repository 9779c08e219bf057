/**
 * Tests sequentially whether a version is worse than the stable one.
 *
 * The evidence is an e-value: the wealth of a bet against the null hypothesis
 * that the version is good enough, whose expected value under that hypothesis
 * is at most 1. By Ville's inequality the probability that it ever exceeds
 * `1 / ALPHA` is at most `ALPHA`, however often it is evaluated, so testing
 * each second does not raise the false-alarm rate. The wealth is averaged over
 * several stakes. The logarithm of each is a sum over answers, so counts
 * merged over gateways give the same value as one gateway that served them
 * all.
 */
import {
  RATING_BINS,
  type VersionEvidence,
} from '../../protocol/rollout_state.ts';

/** The maximum probability of halting a version that is good enough. */
export const ALPHA = 0.01;

/** Quality, failures and latency are tested, each with its part of `ALPHA`. */
const TEST_COUNT = 3;

/** The weight of all evidence; the recent windows share the remainder. */
const TOTAL_WEIGHT = 0.5;

/** The maximum number of recent windows, which are weighted equally. */
export const MAX_RECENT_WINDOWS = 20;

/** The number of ratings from which the stable version's mean is used. */
const MIN_STABLE_RATINGS = 30;

/** The tolerated share of failures; twice the stable version's if larger. */
const TOLERATED_ERRORS = 0.02;

/** The share of slow answers tolerated beyond that of the stable version. */
const TOLERATED_SLOW = 0.1;

/** The stakes, as shares of the largest that cannot lose all wealth at once. */
const STAKES = [0.1, 0.25, 0.5, 0.75, 0.95];

/** The counts of one version, merged over gateways. */
export type EvidenceCounts = Omit<VersionEvidence, 'version'>;

export interface EvaluateEvidenceOptions {
  /**
   * The version's counts per window: all of them first, then those since each
   * checkpoint. Recent windows reveal a version that regresses after it was
   * good for long.
   */
  readonly candidate: readonly EvidenceCounts[];
  readonly stable: EvidenceCounts;
  /** The quality assumed for the stable version while it has few ratings. */
  readonly stableQuality: number;
  /** The tolerated drop of the mean quality. */
  readonly toleratedDrop: number;
}

/** The result of testing a version. */
export interface EvidenceVerdict {
  readonly halt: boolean;
  /** The largest of the e-values; a halt needs `KINDS / ALPHA`. */
  readonly eValue: number;
  /** Describes the largest e-value, for operators. */
  readonly reason: string;
}

/** Tests quality, failures and latency; any of them may halt the version. */
export function evaluateEvidence(
  options: EvaluateEvidenceOptions,
): EvidenceVerdict {
  const tests = [testQuality, testFailures, testLatency];
  const results = tests.map(test => test(options));
  const worst = results.reduce((a, b) => (b.eValue > a.eValue ? b : a));
  return {...worst, halt: worst.eValue >= TEST_COUNT / ALPHA};
}

export function countRatings(counts: EvidenceCounts): number {
  return counts.ratings.reduce((sum, count) => sum + count, 0);
}

/** Computes the mean rating, taking each at the middle of its bin. */
export function computeMeanRating(counts: EvidenceCounts): number {
  const total = countRatings(counts);
  const sum = counts.ratings.reduce(
    (each, count, bin) => each + (count * (bin + 0.5)) / RATING_BINS,
    0,
  );
  return total === 0 ? 0 : sum / total;
}

interface TestResult {
  eValue: number;
  reason: string;
}

function testQuality(options: EvaluateEvidenceOptions): TestResult {
  const {candidate, stable, stableQuality, toleratedDrop} = options;
  const trusted = countRatings(stable) >= MIN_STABLE_RATINGS;
  const reference = trusted ? computeMeanRating(stable) : stableQuality;
  const floor = clampShare(reference - toleratedDrop);
  const eValue = averageWindows(candidate, counts =>
    // Each rating counts as the upper edge of its bin, so that binning cannot
    // cause a false halt.
    computeEValue(1 / (1 - floor), stake =>
      counts.ratings.reduce((sum, count, bin) => {
        const rating = (bin + 1) / RATING_BINS;
        return sum + count * Math.log1p(stake * (floor - rating));
      }, 0),
    ),
  );
  const mean = candidate[0] ? computeMeanRating(candidate[0]) : 0;
  const reason = `mean rating ${mean.toFixed(3)} against a floor of ${floor.toFixed(3)}`;
  return {eValue, reason};
}

function testFailures(options: EvaluateEvidenceOptions): TestResult {
  const {errors, requests} = options.stable;
  const limit = Math.max(TOLERATED_ERRORS, 2 * estimateShare(errors, requests));
  const getCount = (counts: EvidenceCounts) => counts.errors;
  return testShare('failed answers', options.candidate, {
    getCount,
    limit,
  });
}

function testLatency(options: EvaluateEvidenceOptions): TestResult {
  const {slow, requests} = options.stable;
  const limit = TOLERATED_SLOW + estimateShare(slow, requests);
  const getCount = (counts: EvidenceCounts) => counts.slow;
  return testShare('slow first tokens', options.candidate, {
    getCount,
    limit,
  });
}

interface ShareOptions {
  readonly getCount: (counts: EvidenceCounts) => number;
  /** The tolerated share of requests. */
  readonly limit: number;
}

function testShare(
  what: string,
  windows: readonly EvidenceCounts[],
  options: ShareOptions,
): TestResult {
  const limit = clampShare(options.limit);
  const eValue = averageWindows(windows, counts =>
    computeEValue(1 / limit, stake => {
      const count = options.getCount(counts);
      const others = counts.requests - count;
      return (
        count * Math.log1p(stake * (1 - limit)) +
        others * Math.log1p(-stake * limit)
      );
    }),
  );
  const whole = windows[0];
  const share = whole
    ? estimateShare(options.getCount(whole), whole.requests)
    : 0;
  const reason = `${what}: ${share.toFixed(3)} against a limit of ${limit.toFixed(3)}`;
  return {eValue, reason};
}

/** Averages the e-values of the windows; an average of e-values is one too. */
function averageWindows(
  windows: readonly EvidenceCounts[],
  computeOne: (counts: EvidenceCounts) => number,
): number {
  const recentWeight = (1 - TOTAL_WEIGHT) / MAX_RECENT_WINDOWS;
  return windows
    .slice(0, MAX_RECENT_WINDOWS + 1)
    .reduce(
      (sum, counts, index) =>
        sum + (index === 0 ? TOTAL_WEIGHT : recentWeight) * computeOne(counts),
      0,
    );
}

/** Averages the wealth over the stakes. */
function computeEValue(
  largestStake: number,
  computeLogGain: (stake: number) => number,
): number {
  const gains = STAKES.map(share =>
    Math.exp(computeLogGain(share * largestStake)),
  );
  return gains.reduce((sum, gain) => sum + gain, 0) / gains.length;
}

function estimateShare(count: number, total: number): number {
  return total === 0 ? 0 : count / total;
}

/** Keeps a share away from 0 and 1, where the stakes are not finite. */
function clampShare(share: number): number {
  return Math.min(0.99, Math.max(0.01, share));
}
