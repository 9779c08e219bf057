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
const SLOTS = 20;

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

interface Slot {
  readonly startedAt: number;
  requests: number;
  taken: number;
}

/** Creates a budget that has counted nothing yet. */
export function createWindowBudget(options: WindowBudgetOptions): WindowBudget {
  const {clock, windowMs, ratio, getExtra} = options;
  const slotMs = windowMs / SLOTS;
  const slots: Slot[] = [];
  const findSlot = (): Slot => {
    const now = clock.monotonic();
    while (slots[0] && slots[0].startedAt <= now - windowMs) slots.shift();
    const newest = slots.at(-1);
    if (newest && newest.startedAt > now - slotMs) return newest;
    const slot = {startedAt: now, requests: 0, taken: 0};
    slots.push(slot);
    return slot;
  };
  return {
    deposit() {
      findSlot().requests++;
    },
    tryTake(reserve = 0) {
      const slot = findSlot();
      const requests = slots.reduce((sum, each) => sum + each.requests, 0);
      const taken = slots.reduce((sum, each) => sum + each.taken, 0);
      const allowed = requests * ratio + getExtra();
      if (taken + 1 + reserve > allowed) return false;
      slot.taken++;
      return true;
    },
  };
}
