/**
 * Counts what this gateway observes of versions during a roll-out.
 *
 * Each attempt is counted separately and compared with the baseline of its
 * route and model: a request that escalates takes long on any version.
 */
import type {VersionEvidence} from '../../protocol/core_service.ts';

/** An answer is slow above this multiple of the baseline. */
const SLOW_FACTOR = 3;

/** No answer below this counts as slow: queueing is not the version's fault. */
const SLOW_MIN_MS = 400;

/** The weight of the newest answer in the baseline. */
const BASELINE_WEIGHT = 0.1;

export interface ObservedAnswer {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** The model that was asked; `null` if the gateway did not choose it. */
  readonly model: string | null;
  readonly isFailure: boolean;
  /** The time until the answer began, in ms; `null` if it never did. */
  readonly beganMs: number | null;
}

/** The moving average of the time to begin outside of roll-outs. */
interface Baseline {
  ms: number;
  answers: number;
}

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

/** Counts attempts by service, version and route since a roll-out began. */
export class VersionEvidenceCounter {
  private readonly counts = new Map<string, Mutable<VersionEvidence>>();
  private readonly baselines = new Map<string, Baseline>();

  /** Counts an attempt of a roll-out, or updates the baseline without one. */
  record(answer: ObservedAnswer, isRollout: boolean): void {
    const {service, version, route, model, isFailure, beganMs} = answer;
    const kind = `${route}\n${model}`;
    if (!isRollout) {
      if (beganMs !== null && !isFailure) this.updateBaseline(kind, beganMs);
      return;
    }
    const key = [service, version, route].join('\n');
    const count = this.counts.get(key) ?? {
      service,
      version,
      route,
      answers: 0,
      failures: 0,
      slow: 0,
    };
    count.answers++;
    if (isFailure) count.failures++;
    const baselineMs = this.baselines.get(kind)?.ms ?? SLOW_MIN_MS;
    const limitMs = Math.max(SLOW_MIN_MS, baselineMs * SLOW_FACTOR);
    if (beganMs === null || beganMs > limitMs) count.slow++;
    this.counts.set(key, count);
  }

  private updateBaseline(kind: string, ms: number): void {
    const baseline = this.baselines.get(kind) ?? {ms: 0, answers: 0};
    baseline.answers++;
    // A plain mean until enough answers are in.
    const weight = Math.max(BASELINE_WEIGHT, 1 / baseline.answers);
    baseline.ms += (ms - baseline.ms) * weight;
    this.baselines.set(kind, baseline);
  }

  /** Drops services without a running roll-out and lists the others. */
  list(isRunning: (service: string) => boolean): VersionEvidence[] {
    for (const [key, {service}] of this.counts) {
      if (!isRunning(service)) this.counts.delete(key);
    }
    return [...this.counts.values()].map(count => ({...count}));
  }
}
