/** Monitors the availability and latency of the rating service. */
import type {Clock} from '../../protocol/clock.ts';
import type {RateAnswer} from '../requests/request_context.ts';
import type {RatingState} from '../routing/completion_plan.ts';

/** Consecutive failures after which the service counts as unavailable. */
const FAILURES_TO_UNAVAILABLE = 3;

/** How long the service counts as unavailable before it is retried. */
const UNAVAILABLE_MS = 15_000;

/** The weight of one rating in the moving average of the latency. */
const DELAY_WEIGHT = 0.1;

/** The latency assumed before the first rating. */
const INITIAL_DELAY_MS = 500;

/** Tracks the state of the rating service, as a circuit breaker does. */
export class RatingMonitor {
  private failures = 0;
  private unavailableUntil = -Infinity;
  private delayMs = INITIAL_DELAY_MS;

  /** @param configured Whether a rating service is configured. */
  constructor(
    private readonly clock: Pick<Clock, 'monotonic'>,
    private readonly configured: boolean,
  ) {}

  /** Records a rating, or a failure to get one, after `ms`. */
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

/** Wraps `rate` so that `monitor` records the result of each call. */
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
