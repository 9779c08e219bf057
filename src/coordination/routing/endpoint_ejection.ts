/** Sets endpoints aside that fail again and again, but never too many. */
import type {Clock} from '../../protocol/clock.ts';
import type {AttemptResult} from './endpoint_router.ts';

/** Failures in a row that eject. */
const FAILURES_TO_EJECT = 3;

/** The first time aside; it doubles with each ejection in a row. */
const SHORTEST_EJECTION_MS = 2_000;

/** The longest time aside. */
const LONGEST_EJECTION_MS = 60_000;

/** How long an endpoint takes up to its full share after a return. */
const SLOW_START_MS = 10_000;

/** The share that an endpoint begins with. */
const SLOW_START_SHARE = 0.1;

/** The share of a group that may be aside at once; one always may. */
export const LARGEST_EJECTED_SHARE = 0.34;

/** The failures and the time aside of one endpoint. */
export class EndpointEjection {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;

  constructor(private readonly clock: Pick<Clock, 'monotonic'>) {}

  /** Notes how an attempt ended. */
  record(result: AttemptResult): void {
    if (result === 'cancelled') return;
    if (result === 'answered') {
      this.failures = 0;
      this.ejections = 0;
      return;
    }
    this.failures++;
    if (this.failures < FAILURES_TO_EJECT) return;
    this.failures = FAILURES_TO_EJECT - 1;
    const now = this.clock.monotonic();
    if (this.ejectedUntil > now) return;
    const ms = SHORTEST_EJECTION_MS * 2 ** this.ejections;
    this.ejectedUntil = now + Math.min(LONGEST_EJECTION_MS, ms);
    this.ejections++;
  }

  get isEjected(): boolean {
    return this.ejectedUntil > this.clock.monotonic();
  }

  /** The share of its usual work that the endpoint takes, up to 1. */
  get share(): number {
    const sinceMs = this.clock.monotonic() - this.ejectedUntil;
    const share = sinceMs / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_SHARE, share));
  }
}
