/**
 * Counts what this gateway observes of versions during a roll-out.
 *
 * Each attempt is counted separately and compared with the baseline of its
 * route and model: a request that escalates takes long on any version.
 */
import type {
  VersionEvidence,
  VersionPace,
} from '../../protocol/core_service.ts';

/** An answer is slow above this multiple of the baseline. */
const SLOW_FACTOR = 3;

/** No answer below this counts as slow: queueing is not the version's fault. */
const SLOW_MIN_MS = 400;

/** The weight of the newest answer in the baseline. */
const BASELINE_WEIGHT = 0.1;

/** Classes of pace for each doubling of the time. */
const CLASSES_PER_OCTAVE = 3;

/** Classes of pace; the middle one begins at the expected time. */
const PACE_CLASSES = 24;

export interface ObservedAnswer {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** The model that was asked; `null` if the gateway did not choose it. */
  readonly model: string | null;
  readonly isFailure: boolean;
  /** The time until the answer began, in ms; `null` if it never did. */
  readonly beganMs: number | null;
  /**
   * The time that an idle engine of the old version would need to begin it, in
   * ms; `null` without an engine.
   */
  readonly expectedMs: number | null;
}

/** The state of the roll-out when an attempt ended. */
export interface RolloutPhase {
  readonly isRunning: boolean;
  readonly movesSessions: boolean;
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
  private readonly paces = new Map<string, VersionPace>();
  private readonly baselines = new Map<string, Baseline>();

  /** Counts an attempt of a roll-out, or updates the baseline without one. */
  record(answer: ObservedAnswer, phase: RolloutPhase): void {
    const {service, version, route, model, isFailure, beganMs} = answer;
    const kind = `${route}\n${model}`;
    if (!phase.isRunning) {
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
    if (!isFailure) this.countPace(answer, phase, baselineMs);
  }

  /** Counts how long an answer took in relation to its work. */
  private countPace(
    {service, version, route, model, beganMs, expectedMs}: ObservedAnswer,
    {movesSessions}: RolloutPhase,
    baselineMs: number,
  ): void {
    if (beganMs === null) return;
    const kind = model ?? route;
    const key = [service, version, kind, movesSessions].join('\n');
    const pace = this.paces.get(key) ?? {
      service,
      version,
      kind,
      movesSessions,
      counts: new Array<number>(PACE_CLASSES).fill(0),
    };
    const octaves = Math.log2(
      Math.max(1, beganMs) / (expectedMs ?? baselineMs),
    );
    const index = Math.floor(octaves * CLASSES_PER_OCTAVE) + PACE_CLASSES / 2;
    const inRange = Math.min(PACE_CLASSES - 1, Math.max(0, index));
    pace.counts[inRange] = (pace.counts[inRange] ?? 0) + 1;
    this.paces.set(key, pace);
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

  /** Lists the paces of services with a running roll-out; drops the others. */
  listPaces(isRunning: (service: string) => boolean): VersionPace[] {
    for (const [key, {service}] of this.paces) {
      if (!isRunning(service)) this.paces.delete(key);
    }
    return [...this.paces.values()].map(pace => ({
      ...pace,
      counts: [...pace.counts],
    }));
  }
}
