/**
 * Whether this gateway had requests lately, as it tells the others.
 *
 * Each change is sent to all gateways with the whole list, so it must be rare, and
 * all gateways change at the same times.
 */
import type {Clock} from '../../protocol/clock.ts';

/** Between two times at which gateways decide, by the wall clock. */
const INTERVAL_MS = 10_000;

/** Intervals without a request after which a gateway is idle. */
const MIN_IDLE_INTERVALS = 2;

/** The requests of an interval from which on an idle gateway is not idle any more. */
const MIN_REQUESTS = 10;

/** The time until all others know that a gateway is not idle any more. */
const KNOWN_AFTER_MS = 6_000;

export class OwnDemand {
  private interval: number;
  private requests = 0;
  private idleIntervals = 0;
  private isIdle = false;
  /** When it was told to be idle last, on the monotonic clock. */
  private idleAt = -Infinity;

  constructor(private readonly clock: Clock) {
    this.interval = this.computeInterval();
  }

  /** Whether the others are told that this gateway is idle. */
  get isToldIdle(): boolean {
    this.update();
    return this.isIdle;
  }

  /** Whether any other gateway may take this one for idle. */
  get mayCountIdle(): boolean {
    this.update();
    return this.clock.monotonic() - this.idleAt < KNOWN_AFTER_MS;
  }

  /** Records a request of a caller. */
  record(): void {
    this.update();
    this.requests++;
  }

  private update(): void {
    const interval = this.computeInterval();
    const passed = interval - this.interval;
    // It is told so until now, also if that ends with this update.
    if (this.isIdle) this.idleAt = this.clock.monotonic();
    if (passed > 0) {
      const hadNone = this.requests === 0;
      this.idleIntervals = hadNone ? this.idleIntervals + passed : 0;
      if (this.requests >= MIN_REQUESTS) this.isIdle = false;
      if (this.idleIntervals >= MIN_IDLE_INTERVALS) this.isIdle = true;
    }
    if (passed !== 0) {
      this.interval = interval;
      this.requests = 0;
    }
  }

  private computeInterval(): number {
    return Math.floor(this.clock.now() / INTERVAL_MS);
  }
}
