/** Watches whether the rating service answers, and how fast. */
import type {Clock} from '../../protocol/clock.ts';
import type {RateAnswer} from '../requests/request_context.ts';
import type {RatingState} from '../routing/completion_plan.ts';

/** Failures in a row after which the service counts as away. */
const FAILURES_TO_UNAVAILABLE = 3;

/** How long the service counts as away before it is tried again. */
const UNAVAILABLE_MS = 15_000;

/** The weight of one rating in the usual time. */
const DELAY_WEIGHT = 0.1;

/** The time of a rating that is assumed before any was seen. */
const INITIAL_DELAY_MS = 500;

/** Says what decisions may expect of the rating service. */
export class RatingMonitor {
  private failures = 0;
  private unavailableUntil = -Infinity;
  private delayMs = INITIAL_DELAY_MS;

  /** @param configured Whether there is a rating service at all. */
  constructor(
    private readonly clock: Pick<Clock, 'monotonic'>,
    private readonly configured: boolean,
  ) {}

  /** Notes a rating that came after `ms`, or did not come. */
  record(rated: boolean, ms: number): void {
    if (rated) {
      this.failures = 0;
      this.unavailableUntil = -Infinity;
      this.delayMs += (ms - this.delayMs) * DELAY_WEIGHT;
      return;
    }
    this.failures++;
    if (this.failures >= FAILURES_TO_UNAVAILABLE) {
      this.unavailableUntil = this.clock.monotonic() + UNAVAILABLE_MS;
    }
  }

  get state(): RatingState {
    const isUnavailable = this.unavailableUntil > this.clock.monotonic();
    return {
      available: this.configured && !isUnavailable,
      delayMs: this.delayMs,
    };
  }
}

/** Wraps `rate` so that `monitor` sees how each rating went. */
export function watchRatings(
  rate: RateAnswer,
  monitor: RatingMonitor,
  clock: Pick<Clock, 'monotonic'>,
): RateAnswer {
  return async request => {
    const since = clock.monotonic();
    const rated = await rate(request);
    monitor.record(rated.ok, clock.monotonic() - since);
    return rated;
  };
}
