/**
 * Estimates what an engine still holds, and how long a request waits for a place.
 *
 * The memory of an engine is shared by running requests and cached parts of
 * prompts; the least recently used part is evicted first. So a part is gone once
 * the tokens that came since and those of running requests fill the memory.
 */

/** The age at which half of what engines hold is lost for unseen reasons, in ms. */
const UNSEEN_LOSS_MS = 60_000;

/** How sharply a part is lost as the memory fills; larger is sharper. */
const FILL_SHARPNESS = 4;

/** The share of the memory that cached parts have at least. */
const MIN_CACHE_SHARE = 0.02;

export interface EngineMemory {
  /** The tokens that fit into it. */
  readonly memoryTokens: number;
  /** Requests open there, from all gateways. */
  readonly open: number;
  /** The mean tokens of a request. */
  readonly requestTokens: number;
}

/** What came after a part was used the last time. */
export interface PartAge {
  readonly ageMs: number;
  /** The tokens that were read by the engine since, as far as is known. */
  readonly tokensSince: number;
}

/** Estimates the probability that an engine still holds a part, 0 to 1. */
export function estimateHeld(
  {memoryTokens, open, requestTokens}: EngineMemory,
  {ageMs, tokensSince}: PartAge,
): number {
  const runningTokens = open * requestTokens;
  const cacheTokens = Math.max(
    memoryTokens * MIN_CACHE_SHARE,
    memoryTokens - runningTokens,
  );
  const fill = tokensSince / cacheTokens;
  return 2 ** (-ageMs / UNSEEN_LOSS_MS) / (1 + fill ** FILL_SHARPNESS);
}

export interface SlotWaitOptions extends EngineMemory {
  readonly slots: number;
  /** The mean time that a request is open, in ms. */
  readonly holdMs: number;
}

/** Estimates the wait until an engine has a place for a request, in ms. */
export function estimateSlotWaitMs(options: SlotWaitOptions): number {
  const {memoryTokens, open, requestTokens, slots, holdMs} = options;
  const fitting = Math.floor(memoryTokens / Math.max(1, requestTokens));
  const places = Math.max(1, Math.min(slots, fitting));
  return (Math.max(0, open + 1 - places) / places) * holdMs;
}
