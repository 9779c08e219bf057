/**
 * What this gateway saw of versions whose service has a roll-out.
 *
 * Each attempt counts by itself, and is compared with the usual time of its
 * route and model: a request that asks two models takes long on any version.
 */
import type {VersionEvidence} from '../../protocol/core_service.ts';

/** An answer counts as slow from this multiple of the usual time on. */
const SLOW_FACTOR = 3;

/** No answer counts as slow below this, in ms: queueing is not the version. */
const SLOW_MIN_MS = 400;

/** The weight of the newest answer in the usual time. */
const BASELINE_WEIGHT = 0.1;

export interface ObservedAnswer {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** The model that was asked; `null` when the gateway did not choose one. */
  readonly model: string | null;
  readonly isFailure: boolean;
  /** How long it took until the answer began; `null` if it never did. */
  readonly beganMs: number | null;
}

/** The usual time, as a mean over the answers of which the newest count most. */
interface Baseline {
  ms: number;
  answers: number;
}

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

/** Counts attempts by service, version and route since a roll-out began. */
export class VersionEvidenceBook {
  private readonly counts = new Map<string, Mutable<VersionEvidence>>();
  private readonly baselines = new Map<string, Baseline>();

  /** Notes an attempt; only those during a roll-out are counted. */
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
    // The first answers weigh alike.
    const weight = Math.max(BASELINE_WEIGHT, 1 / baseline.answers);
    baseline.ms += (ms - baseline.ms) * weight;
    this.baselines.set(kind, baseline);
  }

  /** Forgets services without a running roll-out, and lists the others. */
  list(isRunning: (service: string) => boolean): VersionEvidence[] {
    for (const [key, {service}] of this.counts) {
      if (!isRunning(service)) this.counts.delete(key);
    }
    return [...this.counts.values()].map(count => ({...count}));
  }
}
