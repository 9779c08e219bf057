/**
 * Watches an attempt for the silence of its endpoint.
 *
 * When the endpoint is silent for too long, the attempt is given up if its
 * successor can be reserved. Otherwise the watch goes on listening and asks again
 * at intervals.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import {MAX_LOGGED_ID_CHARACTERS} from './break_off.ts';
import type {CallerSink} from './call.ts';
import type {BlockReason, CallRun} from './call_run.ts';
import type {Handover} from './handover.ts';
import {SuccessorTrial, type SuccessorTrialOptions} from './successor_trial.ts';
import {startWatchdog} from './watchdog.ts';

/** The interval at which a successor is looked for. */
export const RETRY_HANDOVER_MS = 50;

/** Reasons that do not change while the attempt goes on. */
const FINAL: ReadonlySet<BlockReason> = new Set(['attempts']);

export interface WatchSilenceOptions extends SuccessorTrialOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly handover: Pick<Handover, 'reserve'>;
  readonly sink: Pick<CallerSink, 'hasBegun'>;
}

export interface WatchedAttempt {
  readonly endpoint: EndpointEntry;
  /** The timeout for its first output, in ms. */
  readonly timeoutMs: number;
  /** Whether it is among the runs of its request already; false by default. */
  readonly isCounted?: boolean;
  /**
   * Returns the time until the held answer is to be delivered instead, in ms;
   * `null`, as by default, if there is none.
   */
  readonly findFallbackMs?: () => number | null;
  /** Aborts the attempt; the held answer is delivered. */
  readonly fallBack?: () => void;
  /**
   * Called when an answer on trial is silent, with when it fell silent on the
   * monotonic clock; does nothing by default.
   */
  readonly onSilentTrial?: (since: number) => void;
  /** Aborts the attempt; its successor is reserved. */
  readonly giveUp: () => void;
}

/** Watches one attempt until it is disposed of. */
export interface SilenceWatch extends Disposable {
  /** Records output; it is silent too long after another `ms`. */
  recordOutput(ms: number): void;
}

/** Starts to watch an attempt. */
export function watchSilence(
  options: WatchSilenceOptions,
  run: CallRun,
  {
    endpoint,
    timeoutMs,
    isCounted = false,
    findFallbackMs = () => null,
    fallBack = () => {},
    onSilentTrial = () => {},
    giveUp,
  }: WatchedAttempt,
): SilenceWatch {
  const {clock, handover, sink} = options;
  const trial = new SuccessorTrial(options, run);
  let silentSince = clock.monotonic();
  let hasSpoken = false;
  /** Why the attempt goes on although its endpoint is silent. */
  let waitsFor: BlockReason | null = null;
  /** The reasons told of this silence, which may alternate. */
  const waitedFor = new Set<BlockReason>();
  const record = (decision: string, reason: BlockReason | null) =>
    recordDecision(options, run, {endpoint, silentSince, decision, reason});
  const watchdog = startWatchdog(clock, timeoutMs, () => {
    const fallbackMs = findFallbackMs();
    if (fallbackMs === 0) {
      record('fall-back', null);
      return fallBack();
    }
    if (fallbackMs !== null) return watchdog.postpone(fallbackMs);
    const {hasBegun} = sink;
    const successor = handover.reserve(run, {
      endpoint,
      silentSince,
      hasBegun,
      hasSpoken,
      isCounted,
      isPermitted: trial.isGranted,
    });
    if (successor.ok) {
      record('resume', null);
      const choice = successor.value;
      if (choice) run.reserve(choice, {hasBegun, trial: trial.take()});
      return giveUp();
    }
    const reason = successor.error;
    if (reason === 'quarantine') {
      // One that never spoke may have been dead before it got the prompt.
      if (run.isTrial && hasSpoken) onSilentTrial(silentSince);
      trial.ask();
    } else trial.release();
    waitsFor = reason;
    if (!waitedFor.has(reason)) record('wait', reason);
    waitedFor.add(reason);
    watchdog.postpone(FINAL.has(reason) ? Infinity : RETRY_HANDOVER_MS);
  });
  return {
    recordOutput(ms) {
      if (waitsFor !== null) record('continue', waitsFor);
      waitsFor = null;
      waitedFor.clear();
      hasSpoken = true;
      trial.release();
      silentSince = clock.monotonic();
      watchdog.postpone(ms);
    },
    [Symbol.dispose]() {
      watchdog[Symbol.dispose]();
      trial[Symbol.dispose]();
    },
  };
}

interface Decision {
  readonly endpoint: EndpointEntry;
  readonly silentSince: number;
  /**
   * `continue` if the endpoint went on while the attempt waited, `fall-back` if
   * a held answer takes its place.
   */
  readonly decision: string;
  /** What a successor lacks. */
  readonly reason: BlockReason | null;
}

function recordDecision(
  {clock, logger, metrics, sink}: WatchSilenceOptions,
  run: CallRun,
  {endpoint, silentSince, decision, reason}: Decision,
): void {
  metrics.count('silences', 1, {decision, reason: reason ?? 'none'});
  logger.info('Decides on an attempt whose endpoint is silent.', {
    request: run.call.facts.attemptId,
    service: run.admitted.service.name,
    endpoint: endpoint.id,
    decision,
    reason,
    silenceMs: Math.round(clock.monotonic() - silentSince),
    hasBegun: sink.hasBegun,
    heldBytes: run.held?.size,
    lastEventId: run.lastEventId?.slice(0, MAX_LOGGED_ID_CHARACTERS),
    runs: run.runs,
  });
}
