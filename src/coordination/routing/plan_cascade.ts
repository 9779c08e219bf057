/**
 * Plans cascades: a cheap version answers first, and the request escalates to
 * a stronger one if the rating of that answer is below a threshold.
 */
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import type {PlanStep} from './completion_plan.ts';
import type {VersionFacts} from './version_facts.ts';

/** A way to serve a request, with its expected cost, time and quality. */
export interface PlanOption {
  readonly steps: readonly PlanStep[];
  /** In micro-units of currency. */
  readonly cost: number;
  readonly firstTokenMs: number;
  readonly quality: number;
  readonly reason: string;
}

export interface PlanCascadeOptions {
  /** The lowest expected quality, from 0 to 1. */
  readonly target: number;
  /** The time left for the complete answer. */
  readonly deadlineMs: number;
  /** The target time to first token, if the answer is streamed. */
  readonly firstTokenMs?: number;
  /** The average time of one rating. */
  readonly ratingMs: number;
}

/** No cascade is planned if the cheap version has fewer ratings than this. */
const MIN_RATINGS = 20;

/** The escalation thresholds that are evaluated. */
const THRESHOLDS = [0.3, 0.4, 0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9];

/** The share of the deadline that the longest path of a cascade may use. */
const DEADLINE_SHARE = 0.7;

/** Plans the cheapest cascade of two versions; `null` if none is feasible. */
export function planCascade(
  cheap: VersionFacts,
  strong: VersionFacts,
  options: PlanCascadeOptions,
): PlanOption | null {
  if (cheap.quality.ratings < MIN_RATINGS) return null;
  if (strong.quality.lower < options.target) return null;
  const heldMs = cheap.totalMs + options.ratingMs;
  const longestMs = heldMs + strong.totalMs;
  if (longestMs > options.deadlineMs * DEADLINE_SHARE) return null;
  let best: PlanOption | null = null;
  for (const threshold of THRESHOLDS) {
    const option = evaluateThreshold(
      {cheap, strong, threshold, heldMs},
      options,
    );
    if (option && (!best || option.cost < best.cost)) best = option;
  }
  return best;
}

interface ThresholdOptions {
  readonly cheap: VersionFacts;
  readonly strong: VersionFacts;
  readonly threshold: number;
  /** Until the held answer of the cheap version is delivered or discarded. */
  readonly heldMs: number;
}

function evaluateThreshold(
  {cheap, strong, threshold, heldMs}: ThresholdOptions,
  options: PlanCascadeOptions,
): PlanOption | null {
  const pass = cheap.quality.estimatePass(threshold);
  const escalated = 1 - pass.share;
  const quality = pass.share * pass.quality + escalated * strong.quality.lower;
  if (quality < options.target) return null;
  const firstTokenMs = heldMs + escalated * strong.speed.firstTokenMs;
  const limitMs = options.firstTokenMs ?? Infinity;
  if (firstTokenMs > limitMs) return null;
  return {
    steps: [
      createRatedStep(cheap.version, threshold),
      createDirectStep(strong.version),
    ],
    cost: cheap.cost + escalated * strong.cost,
    firstTokenMs,
    quality,
    reason:
      `cascade from ${formatVersion(cheap.version)} at ${threshold}: ` +
      `${Math.round(escalated * 100)} in 100 escalate`,
  };
}

/** Creates a step whose answer is held until it is rated. */
export function createRatedStep(
  version: Version,
  minimumScore: number,
): PlanStep {
  return {version, release: 'rated', minimumScore, whenUnrated: 'next'};
}

/** Creates a step whose answer is delivered as it streams. */
export function createDirectStep(version: Version): PlanStep {
  return {version, release: 'direct', minimumScore: 0, whenUnrated: 'release'};
}
