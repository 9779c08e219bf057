/** Sends a request to one endpoint and relays its answer. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {
  AttemptOutcome,
  CallerSink,
  EndpointAnswer,
  SendAttempt,
} from './call.ts';
import type {CallRun, FailedAnswer} from './call_run.ts';
import type {EndpointHealth} from './endpoint_health.ts';
import type {EndpointNotices} from './endpoint_notices.ts';
import {deliverAnswer} from './deliver_answer.ts';
import {handleAbort} from './handle_abort.ts';
import {HeldAnswer} from './held_answer.ts';
import {recordSpeed} from '../endpoint_speed/record_speed.ts';
import type {PrefillPlan} from './plan_prefill.ts';
import type {PrefillBacklog} from './prefill_backlog.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {Reachability} from '../reach/reachability.ts';
import type {CrashWatch} from '../quarantine/crash_watch.ts';
import {findFallbackMs} from './find_fallback.ts';
import {computeFirstOutputTimeoutMs} from './first_output_timeout.ts';
import type {SelectionOptions} from '../selection/endpoint_rules.ts';
import {watchSilence, type WatchSilenceOptions} from './silence_watch.ts';
import type {Shutdown} from './shutdown.ts';
import {startWatchdog} from './watchdog.ts';

/**
 * Expected time to begin, as a share of the objective, above which silence of
 * the larger model does not indicate a failure.
 */
const EXPECTED_LATE_SHARE = 0.3;

/** The result of an attempt, for the request and for the endpoint. */
export type AttemptResult =
  /** The caller received the whole answer. */
  | {
      readonly type: 'delivered';
      readonly status: number;
      readonly isGood: boolean;
    }
  /** The endpoint answered with an error; another may succeed. */
  | {readonly type: 'failed'; readonly answer: FailedAnswer}
  | {readonly type: 'not-sent'; readonly reason: string}
  /** The endpoint stopped accepting requests before anything was sent. */
  | {readonly type: 'withdrawn'}
  | {
      readonly type: 'not-run';
      readonly isFull: boolean;
      readonly reason: string;
    }
  /** It may have run, but no complete answer arrived. */
  | {
      readonly type: 'broken';
      /** Whether its connection broke off, as when an endpoint crashes. */
      readonly isDisconnected: boolean;
      readonly reason: string;
    }
  /** It had no event left for a resumed stream; another one has to confirm that. */
  | {readonly type: 'ended'}
  /** It had not begun when the fallback to the held answer was due. */
  | {readonly type: 'overdue'; readonly startedAt: number}
  /** The answer is held, and a larger model is asked. */
  | {readonly type: 'escalated'; readonly confidence: number}
  /** Its answer broke off and cannot be resumed at another endpoint. */
  | {
      readonly type: 'cut';
      readonly isDisconnected: boolean;
      readonly reason: string;
    }
  /** The gateway shuts down; it may have run. */
  | {readonly type: 'interrupted'}
  /** The caller disconnected. */
  | {readonly type: 'left'};

export interface RunAttemptOptions
  extends WatchSilenceOptions, SelectionOptions {
  readonly health: EndpointHealth;
  readonly notices: EndpointNotices;
  readonly quarantine: Quarantine;
  readonly reach: Reachability;
  readonly prefillBacklog: PrefillBacklog;
  /** Whether an endpoint accepts requests now. */
  readonly mayReceive: (endpoint: EndpointEntry) => boolean;
  readonly send: SendAttempt;
  readonly sink: CallerSink;
  readonly shutdown: Shutdown;
  /** The time until the request must be answered, in ms. */
  readonly leftMs: number;
  /** Decides whether to escalate an answer of this confidence. */
  readonly decideEscalation: (confidence: number) => boolean;
}

/** Why the gateway aborts an attempt. */
type AbortReason = 'deadline' | 'stall' | 'overdue' | 'left' | 'interrupted';

/** A planned attempt. */
export interface AttemptChoice {
  readonly endpoint: EndpointEntry;
  /** `null` leaves the caller's choice. */
  readonly model: string | null;
  /** The urgency at the endpoint; 0 goes first. `null` leaves its default. */
  readonly urgency: number | null;
  /** The prefill backlog in front of the attempt, in ms. */
  readonly backlogMs: number;
  readonly plan: PrefillPlan;
  /** The time that work takes at the endpoint, in relation to the usual. */
  readonly timeFactor: number;
  /** The expected time until its answer begins, in ms. */
  readonly expectedMs: number;
}

/** Runs one attempt and returns its result. */
export async function runAttempt(
  options: RunAttemptOptions,
  run: CallRun,
  choice: AttemptChoice,
): Promise<AttemptResult> {
  const {clock, health, leftMs} = options;
  const {endpoint, model, urgency, backlogMs, plan, expectedMs} = choice;
  const {call, admitted} = run;
  run.model = model;
  const controller = new AbortController();
  let aborted: AbortReason | null = null;
  const abort = (reason: AbortReason) => {
    aborted ??= reason;
    controller.abort(reason);
  };
  const startedAt = clock.monotonic();
  const watch = options.quarantine.observe(run, endpoint);
  run.beganMs = null;
  run.expectedMs = expectedMs;
  run.timeFactor = choice.timeFactor;
  run.mayBeginLate =
    expectedMs > admitted.route.objectiveMs * EXPECTED_LATE_SHARE;
  run.uncachedTokens = plan.uncachedTokens;
  using _left = handleAbort(call.signal, () => abort('left'));
  using _interrupted = options.shutdown.handleAbort(() => abort('interrupted'));
  using _open = health.open(endpoint);
  using _sent = options.reach.open(admitted.service.name);
  using prefill = options.prefillBacklog.start({
    endpoint,
    service: admitted.service.name,
    model,
    plan,
    backlogMs,
  });
  using _deadline = startWatchdog(clock, leftMs, () => abort('deadline'));
  using silence = watchSilence(options, run, {
    endpoint,
    timeoutMs: computeFirstOutputTimeoutMs(options, run, startedAt),
    findFallbackMs: () => {
      if (!run.held) return null;
      // An endpoint that answers other requests is busy, not failed.
      run.mayBeginLate ||= health.hasAnsweredSince(endpoint, startedAt);
      return findFallbackMs(run, clock.monotonic());
    },
    fallBack: () => abort('overdue'),
    onSilentTrial: since => watch.recordSilence(since),
    giveUp: () => abort('stall'),
  });
  if (call.signal.aborted) return {type: 'left'};
  const outcome = await options.send(call, {
    endpoint,
    customer: admitted.customer?.name ?? null,
    model,
    urgency,
    lastEventId: run.lastEventId,
    budgetMs: Math.max(1, Math.floor(leftMs)),
    mayReuseConnection: admitted.isRepeatable,
    mayBegin: () =>
      options.mayReceive(endpoint) &&
      (run.isPermitted || options.quarantine.isFree(run)) &&
      options.rules.mayBegin(run, endpoint),
    signal: controller.signal,
  });
  if (outcome.type === 'answer') {
    run.beganMs = clock.monotonic() - startedAt;
    options.reach.recordAnswer(endpoint);
    prefill.begin();
    watch.recordBegin(outcome.answer);
  }
  recordSpeed(options, run, {choice, outcome});
  const received = await handleOutcome(options, run, {
    endpoint,
    outcome,
    startedAt,
    watch,
    onProgress: ms => {
      silence.recordOutput(ms);
      health.recordOutput(endpoint);
      watch.recordProgress();
    },
  });
  const result = explainAbort(received, {aborted, startedAt});
  recordOnWatch(watch, outcome, result);
  return result;
}

/** Records what the end of an attempt shows of its prompt. */
function recordOnWatch(
  watch: CrashWatch,
  outcome: AttemptOutcome,
  result: AttemptResult,
): void {
  if (result.type === 'delivered' && outcome.type === 'answer') {
    watch.recordEnd(outcome.answer);
  }
  if (isDisconnected(result)) watch.recordDisconnect();
}

/** Whether the connection of an attempt broke off, as in a crash. */
export function isDisconnected(result: AttemptResult): boolean {
  return 'isDisconnected' in result && result.isDisconnected;
}

/** Whether an attempt ended without a whole answer. */
export function isIncomplete({type}: AttemptResult): boolean {
  return type === 'broken' || type === 'cut';
}

/** Replaces a result by the gateway's own reason when it aborted. */
function explainAbort(
  result: AttemptResult,
  {aborted, startedAt}: {aborted: AbortReason | null; startedAt: number},
): AttemptResult {
  if (aborted === null || result.type === 'delivered') return result;
  if (aborted === 'left') return {type: 'left'};
  if (aborted === 'interrupted' && isIncomplete(result)) {
    return {type: 'interrupted'};
  }
  if (result.type === 'cut') return {...result, isDisconnected: false};
  if (result.type !== 'broken') return result;
  if (aborted === 'overdue') return {type: 'overdue', startedAt};
  return {...result, isDisconnected: false, reason: aborted};
}

interface ReceivedOutcome {
  readonly endpoint: EndpointEntry;
  readonly outcome: AttemptOutcome;
  /** When the attempt began, on the monotonic clock. */
  readonly startedAt: number;
  readonly watch: CrashWatch;
  /** Called on progress, with the timeout for the next piece in ms. */
  readonly onProgress: (ms: number) => void;
}

async function handleOutcome(
  options: RunAttemptOptions,
  run: CallRun,
  {endpoint, outcome, startedAt, watch, onProgress}: ReceivedOutcome,
): Promise<AttemptResult> {
  const {health, notices, limits} = options;
  switch (outcome.type) {
    case 'not-sent':
    case 'withdrawn':
      return outcome;
    case 'not-run':
      health.recordAnswer(endpoint);
      notices.record(endpoint, outcome.facts);
      limits.record(endpoint, {
        limitPerSecond: outcome.facts.limitPerSecond,
        isVerified: false,
        sentAt: startedAt,
      });
      return {
        type: 'not-run',
        isFull: outcome.status !== 421,
        reason: `status ${outcome.status}`,
      };
    case 'broken':
      return {type: 'broken', isDisconnected: true, reason: outcome.reason};
    case 'invalid':
      return {type: 'broken', isDisconnected: false, reason: outcome.reason};
    case 'aborted':
      return {type: 'broken', isDisconnected: false, reason: 'aborted'};
    case 'answer':
      health.recordAnswer(endpoint);
      notices.record(endpoint, outcome.answer.facts);
      limits.record(endpoint, {
        limitPerSecond: outcome.answer.facts.limitPerSecond,
        isVerified:
          outcome.answer.facts.isSigned &&
          findProblem(run, outcome.answer) === null,
        sentAt: startedAt,
      });
      return handleAnswer(options, run, outcome.answer, {
        endpoint,
        watch,
        onProgress,
      });
  }
}

async function handleAnswer(
  options: RunAttemptOptions,
  run: CallRun,
  answer: EndpointAnswer,
  {
    endpoint,
    watch,
    onProgress,
  }: Pick<ReceivedOutcome, 'endpoint' | 'watch' | 'onProgress'>,
): Promise<AttemptResult> {
  const {sink} = options;
  const problem = findProblem(run, answer);
  if (problem !== null) {
    answer.cancel();
    return {type: 'broken', isDisconnected: false, reason: problem};
  }
  const {confidence} = answer.facts;
  run.confidence = confidence;
  if (
    confidence !== null &&
    !sink.hasBegun &&
    options.decideEscalation(confidence)
  ) {
    hold(options, run, {endpoint, answer, watch});
    return {type: 'escalated', confidence};
  }
  return deliverAnswer({...options, endpoint}, run, answer, onProgress);
}

interface HeldParts {
  readonly endpoint: EndpointEntry;
  readonly answer: EndpointAnswer;
  readonly watch: CrashWatch;
}

/** Holds an answer while a larger model is asked. */
function hold(
  {health}: RunAttemptOptions,
  run: CallRun,
  {endpoint, answer, watch}: HeldParts,
): void {
  const open = health.open(endpoint);
  run.hold(new HeldAnswer({answer, endpoint, model: run.model, open, watch}));
}

/** Why an answer must not be delivered for this request; `null` if it may. */
function findProblem({call}: CallRun, {facts, status}: EndpointAnswer) {
  if (facts.attemptId !== call.facts.attemptId) {
    return 'the answer belongs to another request';
  }
  if (status >= 200 && status < 300 && !facts.isSigned) {
    return 'the answer is not signed';
  }
  return null;
}
