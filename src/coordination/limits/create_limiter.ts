/** Admits requests to pools, each behind its own bulkhead. */
import type {Clock} from '../../protocol/clock.ts';
import type {Limiter, PoolCapacity} from './permit.ts';
import {PoolLimiter} from './pool_limiter.ts';

export interface LimiterOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly getCapacity: (pool: string) => PoolCapacity;
}

/** A limiter that also reports its occupancy. */
export interface ObservableLimiter extends Limiter {
  /** Returns the numbers of running and queued requests by pool. */
  measure(): ReadonlyMap<string, {running: number; waiting: number}>;
}

export function createLimiter(options: LimiterOptions): ObservableLimiter {
  const pools = new Map<string, PoolLimiter>();
  return {
    acquire(request) {
      let limiter = pools.get(request.pool);
      if (!limiter) {
        const getCapacity = () => options.getCapacity(request.pool);
        limiter = new PoolLimiter({...options, getCapacity});
        pools.set(request.pool, limiter);
      }
      return limiter.acquire(request);
    },
    measure: () =>
      new Map([...pools].map(([pool, limiter]) => [pool, limiter.counts])),
  };
}
