/**
 * What a gateway knows of the quality of versions, per class of requests.
 *
 * Ratings of this gateway come in with `record`; summaries of the others with
 * `merge`. Knowledge fades only while ratings flow, so that an outage of the
 * rating service does not turn a version that was found bad into a good one.
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

/** What gateways tell each other of one version in one class. */
export const qualitySummarySchema = z.object({
  version: z.string(),
  requestClass: z.string(),
  histogram: scoreHistogramSchema,
});

export type QualitySummary = z.infer<typeof qualitySummarySchema>;

export interface QualityTableOptions {
  readonly clock: Clock;
  /** After this long with ratings, older ones count half; two hours. */
  readonly halfLifeMs?: number;
}

/** The statistics of a short run of ratings, for sudden changes. */
const RECENT_RATINGS = 24;

/** The least rise or fall that counts as sudden. */
const SUDDEN_CHANGE = 0.08;

/** Standard errors that make a change sudden. */
const SUDDEN_STANDARD_ERRORS = 3;

/** The weight of a rating that rose suddenly. */
const SUSPECT_WEIGHT = 0.1;

/** A pause in the ratings longer than this stops the fading. */
const MAX_DECAY_STEP_MS = 60_000;

/** Separates a class from its part, as in `letter#long`. */
const BUCKET_SEPARATOR = '#';

interface Entry {
  readonly histogram: ScoreHistogram;
  recent: number[];
  caveat?: string;
}

/** Holds the ratings of versions. */
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

  /** Notes a rating, for its class and for the whole of a class's part. */
  record({version, requestClass, score}: Rating): void {
    if (!Number.isFinite(score)) return;
    const clipped = Math.min(1, Math.max(0, score));
    this.decay();
    for (const name of listClasses(requestClass)) {
      this.recordIn(formatKey(version, name), clipped);
    }
  }

  /** Estimates the quality of a version in a class, or a part of one. */
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

  /** The time since the last rating of any version; Infinity before. */
  getMsSinceLastRating(): number {
    return this.clock.monotonic() - this.lastRatingAt;
  }

  /** Forgets a version, as when its weights were replaced. */
  remove(version: string): void {
    const prefix = formatKey(version, '');
    for (const table of [this.entries, ...this.remote.values()]) {
      for (const key of table.keys()) {
        if (key.startsWith(prefix)) table.delete(key);
      }
    }
  }

  /** Summarises this gateway's own ratings for the others. */
  summarise(): QualitySummary[] {
    return [...this.entries].map(([key, entry]) => {
      const [version = '', requestClass = ''] = key.split('\u0000');
      return {version, requestClass, histogram: entry.histogram};
    });
  }

  /** Replaces what is known of another gateway's ratings. */
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

/** Compares the last ratings with all of them. */
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

/** Forgets the ratings from before a fall: the version is not what it was. */
function resetToRecent(entry: Entry): void {
  decayHistogram(entry.histogram, 0);
  for (const score of entry.recent) addScore(entry.histogram, score);
  entry.recent = [];
}

/** A class and, before it, the whole class where it is a part of one. */
function listClasses(requestClass: string): string[] {
  const [whole] = requestClass.split(BUCKET_SEPARATOR, 1);
  return whole === undefined || whole === requestClass
    ? [requestClass]
    : [whole, requestClass];
}

function formatKey(version: string, requestClass: string): string {
  return `${version}\u0000${requestClass}`;
}
