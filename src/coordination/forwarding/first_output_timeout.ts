/** Computes how long an attempt may take until its first output. */
import type {CallerSink} from './call.ts';
import type {CallRun} from './call_run.ts';
import {findFallbackMs} from './find_fallback.ts';
import {STALL_MIN_MS} from './relay_events.ts';

/**
 * Timeout for the first output of an attempt that can be retried elsewhere: a
 * multiple of the objective, and a minimum.
 */
const FIRST_OUTPUT_TIMEOUT_FACTOR = 1.3;
const FIRST_OUTPUT_TIMEOUT_MIN_MS = 500;

/** Longest timeout for the first output of a stream that is resumed. */
const RESUME_TIMEOUT_MAX_MS = 2_500;

/** The timeout for the first event or the whole answer, in ms. */
export function computeFirstOutputTimeoutMs(
  {sink}: {readonly sink: CallerSink},
  run: CallRun,
  nowMs: number,
): number {
  if (run.held) return findFallbackMs(run, nowMs);
  const {objectiveMs, repeatability} = run.admitted.route;
  const timeoutMs = Math.max(
    FIRST_OUTPUT_TIMEOUT_MIN_MS,
    objectiveMs * FIRST_OUTPUT_TIMEOUT_FACTOR,
  );
  if (sink.hasBegun) {
    return Math.max(STALL_MIN_MS, Math.min(RESUME_TIMEOUT_MAX_MS, timeoutMs));
  }
  return repeatability === 'stream'
    ? Math.max(STALL_MIN_MS, timeoutMs)
    : timeoutMs;
}
