/** What this gateway saw of versions whose service has a roll-out. */
import type {VersionEvidence} from '../../protocol/core_service.ts';

/** An answer counts as slow from this multiple of the usual time on. */
const SLOW_FACTOR = 3;

/** No answer counts as slow below this, in ms: queueing is not the version. */
const SLOW_MIN_MS = 400;

/** The weight of the newest answer in the usual time. */
const USUAL_WEIGHT = 0.1;

export interface AnswerSeen {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isFailure: boolean;
  /** The time to the first event or the whole answer; `null` if none came. */
  readonly firstMs: number | null;
}

type Mutable<T> = {-readonly [K in keyof T]: T[K]};

/** Counts answers by service, version and route since a roll-out began. */
export class VersionEvidenceBook {
  private readonly counts = new Map<string, Mutable<VersionEvidence>>();
  private readonly usualMs = new Map<string, number>();

  /** Notes an answer; only those during a roll-out are counted. */
  record(
    {service, version, route, isFailure, firstMs}: AnswerSeen,
    isRollout: boolean,
  ): void {
    const usual = this.usualMs.get(route);
    if (firstMs !== null && !isFailure && !isRollout) {
      const next =
        usual === undefined
          ? firstMs
          : usual + (firstMs - usual) * USUAL_WEIGHT;
      this.usualMs.set(route, next);
    }
    if (!isRollout) return;
    const key = [service, version, route].join('\n');
    const count = this.counts.get(key) ?? {
      service,
      version,
      route,
      answers: 0,
      failures: 0,
      firstMs: 0,
      slow: 0,
    };
    count.answers++;
    if (isFailure) count.failures++;
    count.firstMs += firstMs ?? 0;
    const limit = Math.max(SLOW_MIN_MS, (usual ?? SLOW_MIN_MS) * SLOW_FACTOR);
    if (firstMs === null || firstMs > limit) count.slow++;
    this.counts.set(key, count);
  }

  /** Forgets services without a running roll-out, and lists the others. */
  list(isRunning: (service: string) => boolean): VersionEvidence[] {
    for (const [key, {service}] of this.counts) {
      if (!isRunning(service)) this.counts.delete(key);
    }
    return [...this.counts.values()].map(count => ({...count}));
  }
}
