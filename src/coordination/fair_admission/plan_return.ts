/** Plans when the caller of a request that was refused should come back. */

/**
 * The least time: until a gateway has seen some attempts, an earlier return meets the
 * same room.
 */
const MIN_RETURN_MS = 250;

/** Share of the time left to the caller that it waits at most. */
const MAX_LEFT_SHARE = 1 / 3;

export interface PlanReturnOptions {
  /** The time until room is expected for its rank and customer, in ms. */
  readonly waitMs: number;
  /** The share of the requests of its rank and customer that find room, 0 to 1. */
  readonly servedShare: number;
  /** The time left until its deadline, in ms. */
  readonly leftMs: number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Plans the time to come back, in ms: when room is expected, spread over as long
 * again, since all that are refused at the same time would else return together.
 */
export function planReturnMs(options: PlanReturnOptions): number {
  const {waitMs, servedShare, leftMs, random} = options;
  const lastMs = Math.max(0, leftMs) * MAX_LEFT_SHARE;
  // Those that were refused before come back as well, so room takes longer.
  const earliestMs =
    Math.max(MIN_RETURN_MS, waitMs) / Math.max(0.01, servedShare);
  // A caller with little time left still must not return with all others.
  const fromMs = Math.min(earliestMs, lastMs / 2);
  const toMs = Math.min(2 * earliestMs, lastMs);
  return fromMs + random() * (toMs - fromMs);
}
