/** Finds when a held answer is delivered in place of a larger model's. */
import type {CallRun} from './call_run.ts';

/**
 * Share of the objective after which the held answer is delivered instead of an
 * escalation that has not begun. The rest covers the transfer to the caller.
 */
const FALLBACK_SHARE = 0.8;

/**
 * The same limit, as a multiple of the objective, for a larger model that is
 * expected to begin late. By then the held answer is late as well, and the one
 * of higher confidence serves the caller better.
 */
const FALLBACK_FACTOR = 1.25;

/** The time until the fallback to a held answer, in ms; 0 when it is due. */
export function findFallbackMs(
  {call, admitted, mayBeginLate}: CallRun,
  nowMs: number,
): number {
  const {objectiveMs} = admitted.route;
  const dueMs = objectiveMs * (mayBeginLate ? FALLBACK_FACTOR : FALLBACK_SHARE);
  return Math.max(0, call.receivedAt + dueMs - nowMs);
}
