/** Delivers an answer that was held while a larger model was asked. */
import type {CallerSink} from './call.ts';
import type {CallRun} from './call_run.ts';
import {deliverAnswer} from './deliver_answer.ts';
import {handleAbort} from './handle_abort.ts';
import type {HeldAnswer} from './held_answer.ts';
import {STALL_MIN_MS} from './relay_events.ts';
import {
  isIncomplete,
  type AttemptResult,
  type RunAttemptOptions,
} from './run_attempt.ts';
import {watchSilence, type WatchSilenceOptions} from './silence_watch.ts';
import {startWatchdog} from './watchdog.ts';

/** Delivers a held answer to the caller. */
export async function deliverHeld(
  options: Pick<RunAttemptOptions, 'health' | 'leftMs' | 'shutdown'> &
    WatchSilenceOptions & {readonly sink: CallerSink},
  run: CallRun,
  held: HeldAnswer,
): Promise<AttemptResult> {
  const {clock, health, leftMs, shutdown} = options;
  const {endpoint} = held;
  const {signal} = run.call;
  const drop = () => held[Symbol.dispose]();
  using _left = handleAbort(signal, drop);
  using _interrupted = shutdown.handleAbort(drop);
  // Has no effect on an answer that was received whole.
  if (shutdown.isAborted) drop();
  using _held = held;
  using _deadline = startWatchdog(clock, leftMs, drop);
  using silence = watchSilence(options, run, {
    endpoint,
    timeoutMs: STALL_MIN_MS,
    isCounted: true,
    giveUp: drop,
  });
  const delivery = {...options, endpoint};
  const result = await deliverAnswer(delivery, run, held.createAnswer(), ms => {
    silence.recordOutput(ms);
    health.recordOutput(endpoint);
  });
  if (signal.aborted) return {type: 'left'};
  return shutdown.isAborted && isIncomplete(result)
    ? {type: 'interrupted'}
    : result;
}
