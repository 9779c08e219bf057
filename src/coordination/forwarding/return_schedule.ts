/**
 * Plans when refused callers should return, so that they come at the rate at which
 * they can be served.
 */
import type {Clock} from '../../protocol/clock.ts';

/** The latest time at which a refused caller is told to return. */
const MAX_RETURN_MS = 5_000;

export interface ReturnScheduleOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export interface PlanReturnOptions {
  /** The rate at which this gateway's callers can be served. */
  readonly perSecond: number;
  /** The latest time to return, in ms from now; 5,000 by default. */
  readonly maxMs?: number;
}

export class ReturnSchedule {
  /** When the next caller was told to return, by service. */
  private readonly returns = new Map<string, number>();

  constructor(private readonly options: ReturnScheduleOptions) {}

  /** Plans when the next refused caller of a service returns, in ms from now. */
  planMs(
    service: string,
    {perSecond, maxMs = MAX_RETURN_MS}: PlanReturnOptions,
  ): number {
    const now = this.options.clock.monotonic();
    const intervalMs = 1_000 / perSecond;
    const previous = Math.max(now, this.returns.get(service) ?? -Infinity);
    // The first one, too, is spread over an interval.
    const isFirst = previous === now;
    const next = previous + intervalMs * (isFirst ? this.options.random() : 1);
    this.returns.set(service, Math.min(next, now + maxMs));
    return Math.min(next - now, maxMs);
  }
}
