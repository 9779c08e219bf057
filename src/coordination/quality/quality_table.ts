/**
 * A gateway's statistics of the quality of versions, per request class.
 *
 * `record` adds ratings of this gateway and `merge` the summaries of other
 * gateways. Ratings decay only while new ones arrive, so that an outage of the
 * rating service does not restore a version that was rated badly to its
 * declared quality.
 *
 * @example
 * table.record({version: 'draft/v2', requestClass: 'letter', score: 0.7});
 * table.estimate(version, 'letter').lower;
 */
import * as z from 'zod';
import type {Clock} from '../../protocol/clock.ts';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import type {QualityEstimate} from './quality_estimate.ts';
import {estimateQuality} from './estimate_quality.ts';
import {
  addScore,
  computeVariance,
  countRatings,
  createScoreHistogram,
  decayHistogram,
  mergeHistograms,
  scoreHistogramSchema,
  type ScoreHistogram,
} from './score_histogram.ts';

/** One rating of one answer. */
export interface Rating {
  /** The version as `model/version`. */
  readonly version: string;
  readonly requestClass: string;
  /** From 0 to 1. */
  readonly score: number;
}

/** The statistics of one version in one class, exchanged among gateways. */
export const qualitySummarySchema = z.object({
  version: z.string(),
  requestClass: z.string(),
  histogram: scoreHistogramSchema,
});

export type QualitySummary = z.infer<typeof qualitySummarySchema>;

export interface QualityTableOptions {
  readonly clock: Clock;
  /** The half-life of ratings while new ones arrive; two hours by default. */
  readonly halfLifeMs?: number;
}

/** The number of latest ratings that are checked for a sudden change. */
const RECENT_RATINGS = 24;

/** The smallest change of the mean that counts as sudden. */
const SUDDEN_CHANGE = 0.08;

/** The smallest sudden change, in standard errors. */
const SUDDEN_STANDARD_ERRORS = 3;

/** The weight of a rating that is part of a sudden rise. */
const SUSPECT_WEIGHT = 0.1;

/** The maximum time between ratings that counts towards the decay. */
const MAX_DECAY_STEP_MS = 60_000;

/** Separates a request class from its bucket, as in `letter#long`. */
const BUCKET_SEPARATOR = '#';

interface Entry {
  readonly histogram: ScoreHistogram;
  recent: number[];
  caveat?: string;
}

/** A table of the ratings of versions, per class and bucket. */
export class QualityTable {
  private readonly clock: Clock;
  private readonly halfLifeMs: number;
  private readonly entries = new Map<string, Entry>();
  private readonly remote = new Map<string, Map<string, ScoreHistogram>>();
  private lastRatingAt = -Infinity;

  constructor({clock, halfLifeMs = 2 * 3_600_000}: QualityTableOptions) {
    this.clock = clock;
    this.halfLifeMs = halfLifeMs;
  }

  /** Records a rating for its bucket, if any, and for the whole class. */
  record({version, requestClass, score}: Rating): void {
    if (!Number.isFinite(score)) return;
    const clipped = Math.min(1, Math.max(0, score));
    this.decay();
    for (const name of listClasses(requestClass)) {
      this.recordIn(formatKey(version, name), clipped);
    }
  }

  /**
   * Estimates the quality of a version in a class, or in a bucket of one,
   * whose prior is the mean of the whole class.
   */
  estimate(version: Version, requestClass: string): QualityEstimate {
    const name = formatVersion(version);
    const declared = version.expected_quality;
    let estimate = this.estimateIn(formatKey(name, requestClass), declared);
    const [whole] = requestClass.split(BUCKET_SEPARATOR, 1);
    if (whole !== undefined && whole !== requestClass) {
      const prior = this.estimateIn(formatKey(name, whole), declared);
      estimate = this.estimateIn(
        formatKey(name, requestClass),
        declared,
        prior.mean,
      );
    }
    return estimate;
  }

  /** Returns the time since any version was rated; `Infinity` before. */
  getMsSinceLastRating(): number {
    return this.clock.monotonic() - this.lastRatingAt;
  }

  /** Removes the ratings of a version, such as when its weights change. */
  remove(version: string): void {
    const prefix = formatKey(version, '');
    for (const table of [this.entries, ...this.remote.values()]) {
      for (const key of table.keys()) {
        if (key.startsWith(prefix)) table.delete(key);
      }
    }
  }

  /** Summarises this gateway's own ratings for other gateways. */
  summarise(): QualitySummary[] {
    return [...this.entries].map(([key, entry]) => {
      const [version = '', requestClass = ''] = key.split('\u0000');
      return {version, requestClass, histogram: entry.histogram};
    });
  }

  /** Replaces the summaries of another gateway. */
  merge(gateway: string, summaries: readonly QualitySummary[]): void {
    this.remote.set(
      gateway,
      new Map(
        summaries.map(each => [
          formatKey(each.version, each.requestClass),
          each.histogram,
        ]),
      ),
    );
  }

  private recordIn(key: string, score: number): void {
    let entry = this.entries.get(key);
    if (!entry) {
      entry = {histogram: createScoreHistogram(), recent: []};
      this.entries.set(key, entry);
    }
    entry.recent.push(score);
    if (entry.recent.length > RECENT_RATINGS) entry.recent.shift();
    const change = detectChange(entry);
    entry.caveat =
      change === 'rise' ? 'ratings rose suddenly, held back' : undefined;
    if (change === 'fall') resetToRecent(entry);
    else addScore(entry.histogram, score, entry.caveat ? SUSPECT_WEIGHT : 1);
  }

  private estimateIn(
    key: string,
    declared: number,
    prior?: number,
  ): QualityEstimate {
    const entry = this.entries.get(key);
    const parts: ScoreHistogram[] = entry ? [entry.histogram] : [];
    for (const table of this.remote.values()) {
      const part = table.get(key);
      if (part) parts.push(part);
    }
    const whole =
      parts.length === 1 && parts[0] ? parts[0] : mergeHistograms(parts);
    return estimateQuality(whole, {declared, prior, caveat: entry?.caveat});
  }

  private decay(): void {
    const now = this.clock.monotonic();
    const stepMs = Math.min(MAX_DECAY_STEP_MS, now - this.lastRatingAt);
    this.lastRatingAt = now;
    const factor = 0.5 ** (stepMs / this.halfLifeMs);
    if (factor === 1) return;
    for (const entry of this.entries.values()) {
      decayHistogram(entry.histogram, factor);
    }
  }
}

/** Compares the mean of the latest ratings with the mean of all. */
function detectChange(entry: Entry): 'rise' | 'fall' | null {
  const count = countRatings(entry.histogram);
  if (entry.recent.length < RECENT_RATINGS || count < RECENT_RATINGS) {
    return null;
  }
  const recent =
    entry.recent.reduce((total, score) => total + score, 0) / RECENT_RATINGS;
  const error = Math.sqrt(computeVariance(entry.histogram) / RECENT_RATINGS);
  const change = recent - entry.histogram.sum / count;
  if (
    Math.abs(change) < Math.max(SUDDEN_CHANGE, SUDDEN_STANDARD_ERRORS * error)
  ) {
    return null;
  }
  return change > 0 ? 'rise' : 'fall';
}

/** Drops ratings from before a fall, which no longer describe the version. */
function resetToRecent(entry: Entry): void {
  decayHistogram(entry.histogram, 0);
  for (const score of entry.recent) addScore(entry.histogram, score);
  entry.recent = [];
}

/** Lists the classes to record under: the whole class, then its bucket. */
function listClasses(requestClass: string): string[] {
  const [whole] = requestClass.split(BUCKET_SEPARATOR, 1);
  return whole === undefined || whole === requestClass
    ? [requestClass]
    : [whole, requestClass];
}

function formatKey(version: string, requestClass: string): string {
  return `${version}\u0000${requestClass}`;
}
