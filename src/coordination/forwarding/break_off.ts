/** Breaks off answers that have begun and cannot be completed. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {CallerSink} from './call.ts';
import type {BlockReason, CallRun} from './call_run.ts';

/** Characters of an event's id that a log line has at most. */
export const MAX_LOGGED_ID_CHARACTERS = 64;

export interface BreakOffOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Closes the caller's connection before the answer is complete, and finishes the
 * run.
 *
 * @param reason Why the answer has no successor.
 * @param gateway The gateway that it was relayed from; none by default.
 */
export function breakOff(
  {clock, logger, metrics}: BreakOffOptions,
  run: CallRun,
  {
    sink,
    reason,
    gateway,
  }: {sink: CallerSink; reason: BlockReason; gateway?: string},
): void {
  const {call, admitted} = run;
  const ms = clock.monotonic() - call.receivedAt;
  sink.abort();
  run.finish('cut', 0);
  metrics.count('broken_off', 1, {reason});
  logger.warn('Breaks off an answer that has begun.', {
    request: call.facts.attemptId,
    route: admitted.route.name,
    reason,
    endpoints: [...run.tried],
    gateway,
    runs: run.runs,
    notRun: run.notRun,
    lastEventId: run.lastEventId?.slice(0, MAX_LOGGED_ID_CHARACTERS),
    silenceMs: Math.round(ms - (run.lastOutputMs ?? ms)),
    leftMs: Math.round(admitted.deadline - clock.monotonic()),
  });
}
