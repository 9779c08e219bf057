/**
 * A budget of extra attempts that counts over a sliding window.
 *
 * A gateway that sees few requests needs it: a budget that saves up only a few
 * tokens refuses the second of two extra attempts in a row, although the window
 * has room for both. What each gateway keeps to in its window, all of them keep
 * to in their sum.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {RetryBudget} from './retry_budget.ts';

/** Into how many parts the window is cut; the oldest leaves as a whole. */
const SLICES = 20;

/** A budget of which a part can be kept for others. */
export interface WindowBudget extends RetryBudget {
  /**
   * Takes an extra attempt; false when the window holds no more.
   *
   * @param reserve Attempts that must stay for others; 0 by default.
   */
  tryTake(reserve?: number): boolean;
}

export interface WindowBudgetOptions {
  readonly clock: Clock;
  /** The length of the window, in ms. */
  readonly windowMs: number;
  /** Extra attempts for each first attempt. */
  readonly ratio: number;
  /** Returns the extra attempts that a window may hold beyond that share. */
  readonly getExtra: () => number;
}

interface Slice {
  readonly startedAt: number;
  requests: number;
  taken: number;
}

/** Creates a budget that has counted nothing yet. */
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
