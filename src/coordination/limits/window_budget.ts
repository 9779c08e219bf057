/**
 * A budget of extra attempts over a sliding window.
 *
 * Meant for gateways with few requests: a token bucket with few tokens refuses
 * the second of two consecutive extra attempts although the window allows both.
 * If each gateway stays within its window, so does the sum of all gateways.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {RetryBudget} from './retry_budget.ts';

/** The number of time slices of a window; a slice expires as a whole. */
const SLICES = 20;

/** A budget of which a part can be reserved. */
export interface WindowBudget extends RetryBudget {
  /**
   * Takes an extra attempt; returns false if the window allows no more.
   *
   * @param reserve Attempts that must remain for others; 0 by default.
   */
  tryTake(reserve?: number): boolean;
}

export interface WindowBudgetOptions {
  readonly clock: Clock;
  readonly windowMs: number;
  /** Extra attempts per first attempt. */
  readonly ratio: number;
  /** Returns the extra attempts that a window allows beyond that share. */
  readonly getExtra: () => number;
}

interface Slice {
  readonly startedAt: number;
  requests: number;
  taken: number;
}

export function createWindowBudget(options: WindowBudgetOptions): WindowBudget {
  const {clock, windowMs, ratio, getExtra} = options;
  const sliceMs = windowMs / SLICES;
  const slices: Slice[] = [];
  const getCurrentSlice = (): Slice => {
    const now = clock.monotonic();
    while (slices[0] && slices[0].startedAt <= now - windowMs) slices.shift();
    const newest = slices.at(-1);
    if (newest && newest.startedAt > now - sliceMs) return newest;
    const slice = {startedAt: now, requests: 0, taken: 0};
    slices.push(slice);
    return slice;
  };
  return {
    deposit() {
      getCurrentSlice().requests++;
    },
    tryTake(reserve = 0) {
      const slice = getCurrentSlice();
      const requests = slices.reduce((sum, each) => sum + each.requests, 0);
      const taken = slices.reduce((sum, each) => sum + each.taken, 0);
      const allowed = requests * ratio + getExtra();
      if (taken + 1 + reserve > allowed) return false;
      slice.taken++;
      return true;
    },
  };
}
