/**
 * Ejects endpoints after consecutive failures, up to a limited share of their
 * group.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {AttemptResult} from './endpoint_router.ts';

/** Consecutive failures after which an endpoint is ejected. */
const FAILURES_TO_EJECT = 3;

/** The duration of the first ejection; doubles with each consecutive one. */
const SHORTEST_EJECTION_MS = 2_000;

const LONGEST_EJECTION_MS = 60_000;

/** The time from the end of an ejection until the endpoint has full share. */
const SLOW_START_MS = 10_000;

/** The share that a returning endpoint starts with. */
const SLOW_START_SHARE = 0.1;

/**
 * The largest share of a group that may be ejected at once; one endpoint
 * always may be.
 */
export const LARGEST_EJECTED_SHARE = 0.34;

/** Tracks the consecutive failures and ejections of one endpoint. */
export class EndpointEjection {
  private failures = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;

  constructor(private readonly clock: Pick<Clock, 'monotonic'>) {}

  /** Records the result of an attempt. */
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

  /** The share of its normal load that the endpoint receives, up to 1. */
  get share(): number {
    const sinceMs = this.clock.monotonic() - this.ejectedUntil;
    const share = sinceMs / SLOW_START_MS;
    return Math.min(1, Math.max(SLOW_START_SHARE, share));
  }
}
