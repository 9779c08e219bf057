/** The bulkhead of one pool: slots, queue and adaptive limit. */
import type {Clock} from '../../protocol/clock.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {createAdaptiveLimit} from './adaptive_limit.ts';
import {FairQueue, type QueuedRequest} from './fair_queue.ts';
import type {AcquireOptions, Permit, PoolCapacity, Refusal} from './permit.ts';

export interface PoolLimiterOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly getCapacity: () => PoolCapacity;
}

interface Waiter extends QueuedRequest {
  readonly limit: number;
  readonly queuedAt: number;
  settle(outcome: Outcome<Permit, Refusal>): void;
}

/** The interval at which a queue is checked for free slots and expiry. */
const QUEUE_CHECK_MS = 20;

/** The assumed hold time of a permit until one was released. */
const INITIAL_HOLD_MS = 1_000;

/** The weight of one permit in the moving average of hold times. */
const HOLD_WEIGHT = 0.05;

/** The retry delay advised for an unavailable pool, before jitter. */
const UNAVAILABLE_RETRY_MS = 1_000;

/**
 * After this long without being empty, a queue counts as a standing queue: it
 * adds latency without absorbing a burst.
 */
const STANDING_QUEUE_MS = 3_000;

/** The maximum wait in a standing queue. */
const STANDING_QUEUE_WAIT_MS = 1_000;

/** How long the limit of a pool ramps up after it becomes available. */
const RAMP_MS = 5_000;

/** The share of the limit at which the ramp starts. */
const RAMP_START_SHARE = 0.2;

/** Admits requests to one pool. */
export class PoolLimiter {
  private readonly queue = new FairQueue<Waiter>();
  private readonly adaptive = createAdaptiveLimit();
  /** The number of running requests by customer. */
  private readonly running = new Map<string, number>();
  private runningCount = 0;
  private holdMs = INITIAL_HOLD_MS;
  private isCheckingQueue = false;
  private queueEmptyAt = 0;
  private wasUnavailable = false;
  private availableSince = -Infinity;

  constructor(private readonly options: PoolLimiterOptions) {}

  /** The numbers of running and queued requests. */
  get counts(): {readonly running: number; readonly waiting: number} {
    return {running: this.runningCount, waiting: this.queue.length};
  }

  /** Admits a request, at once or from the queue, or refuses it. */
  async acquire(options: AcquireOptions): Promise<Outcome<Permit, Refusal>> {
    const {signal, customer, weight = 1, cost = 1, priority = 0} = options;
    if (signal?.aborted) return fail(this.refuse('cancelled'));
    const capacity = this.options.getCapacity();
    const limit = this.computeLimit(capacity);
    if (limit === 0) return fail(this.refuse('pool-unavailable'));
    const request = {customer, weight, cost, priority};
    const ownLimit = options.concurrency ?? Infinity;
    if (this.queue.length === 0 && this.runningCount < limit) {
      if (this.countRunning(customer) < ownLimit) {
        this.queue.recordAdmission(request);
        return succeed(this.admit(customer, 0));
      }
    }
    const waitMs = (this.queue.countAhead(request) * this.holdMs) / limit;
    const maxWaitMs = Math.min(options.deadlineMs, this.computeMaxWaitMs());
    if (waitMs > maxWaitMs) {
      return fail(this.refuse('deadline', waitMs - maxWaitMs));
    }
    return this.wait(options, ownLimit, capacity);
  }

  private async wait(
    options: AcquireOptions,
    limit: number,
    capacity: PoolCapacity,
  ): Promise<Outcome<Permit, Refusal>> {
    const {customer, weight = 1, cost = 1, priority = 0, signal} = options;
    const queuedAt = this.options.clock.monotonic();
    const expiresAt = queuedAt + options.deadlineMs;
    return new Promise(resolve => {
      const abort = () => {
        if (!this.queue.remove(waiter)) return;
        resolve(fail(this.refuse('cancelled')));
      };
      const waiter: Waiter = {
        ...{customer, weight, cost, priority, expiresAt, limit, queuedAt},
        settle: outcome => {
          signal?.removeEventListener('abort', abort);
          resolve(outcome);
        },
      };
      if (!this.evictIfFull(waiter, capacity)) return;
      this.queue.push(waiter);
      signal?.addEventListener('abort', abort, {once: true});
      this.admitWaiting();
      void this.checkQueue();
    });
  }

  /**
   * Refuses a queued request, or else this one, if the queue is full. Returns
   * whether this request may be queued.
   */
  private evictIfFull(waiter: Waiter, capacity: PoolCapacity): boolean {
    if (this.queue.length < capacity.queue) return true;
    const evicted = this.queue.evictFromLongest(waiter);
    const refused = evicted ?? waiter;
    refused.settle(fail(this.refuse('queue-full', this.holdMs)));
    return evicted !== null;
  }

  /** Checks the queue periodically until it is empty. */
  private async checkQueue(): Promise<void> {
    if (this.isCheckingQueue) return;
    this.isCheckingQueue = true;
    while (this.queue.length > 0) {
      this.expire();
      this.admitWaiting();
      if (this.queue.length === 0) break;
      await this.options.clock.sleep(QUEUE_CHECK_MS);
    }
    this.isCheckingQueue = false;
  }

  private expire(): void {
    const now = this.options.clock.monotonic();
    const earliestQueuedAt = now - this.computeMaxWaitMs();
    const expired = this.queue.removeWhere(
      each => each.expiresAt <= now || each.queuedAt < earliestQueuedAt,
    );
    for (const waiter of expired) {
      const isAtLimit = this.countRunning(waiter.customer) >= waiter.limit;
      const reason = isAtLimit ? 'customer-limit' : 'deadline';
      waiter.settle(fail(this.refuse(reason, this.holdMs)));
    }
  }

  /** Admits queued requests while slots are free. */
  private admitWaiting(): void {
    const limit = this.computeLimit(this.options.getCapacity());
    if (limit === 0) {
      for (const waiter of this.queue.removeWhere(() => true)) {
        waiter.settle(fail(this.refuse('pool-unavailable')));
      }
      return;
    }
    const now = this.options.clock.monotonic();
    const canAdmit = (waiter: Waiter) =>
      this.countRunning(waiter.customer) < waiter.limit;
    while (this.runningCount < limit) {
      const waiter = this.queue.shift(canAdmit);
      if (!waiter) break;
      waiter.settle(
        succeed(this.admit(waiter.customer, now - waiter.queuedAt)),
      );
    }
  }

  /** Returns the maximum wait, independent of a request's own deadline. */
  private computeMaxWaitMs(): number {
    const now = this.options.clock.monotonic();
    // A queue during the ramp is no sign of overload.
    const isRamping = now - this.availableSince < RAMP_MS;
    if (this.queue.length === 0 || isRamping) this.queueEmptyAt = now;
    return now - this.queueEmptyAt > STANDING_QUEUE_MS
      ? STANDING_QUEUE_WAIT_MS
      : Infinity;
  }

  private admit(customer: string, queuedMs: number): Permit {
    const {running} = this;
    const {clock} = this.options;
    const since = clock.monotonic();
    this.runningCount++;
    running.set(customer, this.countRunning(customer) + 1);
    let released = false;
    return {
      queuedMs,
      recordFirstToken: ms => this.adaptive.record(ms),
      [Symbol.dispose]: () => {
        if (released) return;
        released = true;
        this.runningCount--;
        const remaining = this.countRunning(customer) - 1;
        if (remaining > 0) running.set(customer, remaining);
        else running.delete(customer);
        const heldMs = clock.monotonic() - since;
        this.holdMs += (heldMs - this.holdMs) * HOLD_WEIGHT;
        if (this.queue.length > 0) this.admitWaiting();
      },
    };
  }

  /** Returns the current concurrency limit; 0 if the pool is unavailable. */
  private computeLimit({slots}: PoolCapacity): number {
    const now = this.options.clock.monotonic();
    if (slots <= 0) {
      this.wasUnavailable = true;
      return 0;
    }
    if (this.wasUnavailable) {
      this.wasUnavailable = false;
      this.availableSince = now;
    }
    const ramp = (now - this.availableSince) / RAMP_MS;
    const limit = this.adaptive.compute(slots);
    if (ramp >= 1) return limit;
    return Math.max(1, Math.floor(limit * Math.max(RAMP_START_SHARE, ramp)));
  }

  private countRunning(customer: string): number {
    return this.running.get(customer) ?? 0;
  }

  private refuse(reason: Refusal['reason'], waitMs = 0): Refusal {
    const jitter = 1 + this.options.random();
    const baseMs =
      reason === 'pool-unavailable'
        ? UNAVAILABLE_RETRY_MS
        : waitMs + QUEUE_CHECK_MS;
    return {
      reason,
      message: MESSAGES[reason],
      retryAfterMs: Math.ceil(baseMs * jitter),
    };
  }
}

const MESSAGES: Readonly<Record<Refusal['reason'], string>> = {
  'queue-full': 'too many requests wait for the pool',
  deadline: 'the wait for the pool would be too long',
  'customer-limit': 'the customer has as many requests running as it may',
  'pool-unavailable': 'no endpoint of the pool takes work',
  cancelled: 'the caller left',
};
