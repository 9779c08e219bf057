/** Sends a request to one endpoint and passes its answer on. */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {
  AttemptOutcome,
  CallerSink,
  EndpointAnswer,
  Header,
  SendAttempt,
} from './call.ts';
import type {CallRun, FailedAnswer} from './call_run.ts';
import type {EndpointHealth} from './endpoint_health.ts';
import type {EndpointNotices} from './endpoint_notices.ts';
import {HeldAnswer, MAX_HELD_BYTES} from './held_answer.ts';
import type {PrefillPlan} from './plan_reading.ts';
import type {ReadingWork} from './reading_work.ts';
import {relayEvents, STALL_MIN_MS} from './relay_events.ts';
import {startWatchdog} from './watchdog.ts';

/**
 * How long an answer that may be asked for again is waited for, as a multiple
 * of its objective, and at least.
 */
const FIRST_OUTPUT_TIMEOUT_FACTOR = 1.3;
const FIRST_OUTPUT_TIMEOUT_MIN_MS = 500;

/**
 * When a held answer is delivered in place of one that has not begun, as a
 * share of the objective: what is left covers the way to the caller.
 */
const FALLBACK_SHARE = 0.8;

/**
 * The same, as a multiple of the objective, while the larger model is expected
 * to begin: held for so long, the first answer is late anyway, and a sure one
 * serves the caller better.
 */
const FALLBACK_FACTOR = 1.25;

/**
 * The share of the objective from which on a larger model is expected to take
 * so long that its silence means nothing.
 */
const EXPECTED_LATE_SHARE = 0.3;

/** What became of an attempt, for the request and for the endpoint. */
export type AttemptResult =
  /** The caller has the whole answer. */
  | {
      readonly type: 'delivered';
      readonly status: number;
      readonly isGood: boolean;
    }
  /** The endpoint answered that it failed; another may do better. */
  | {readonly type: 'failed'; readonly answer: FailedAnswer}
  | {readonly type: 'not-sent'; readonly reason: string}
  /** The endpoint may not receive it any more; nothing was sent. */
  | {readonly type: 'withdrawn'}
  | {
      readonly type: 'not-run';
      readonly isFull: boolean;
      readonly reason: string;
    }
  /** It may have run, and no whole answer came. */
  | {
      readonly type: 'broken';
      readonly isUnreachable: boolean;
      readonly reason: string;
    }
  /** It had not begun when the held answer had to be delivered. */
  | {readonly type: 'overdue'; readonly startedAt: number}
  /** The model doubts its answer, and a larger one is asked. */
  | {readonly type: 'escalated'; readonly confidence: number}
  /** Its answer broke off and cannot go on elsewhere. */
  | {readonly type: 'cut'; readonly reason: string}
  /** The caller left. */
  | {readonly type: 'left'};

export interface RunAttemptOptions {
  readonly clock: Clock;
  readonly health: EndpointHealth;
  readonly notices: EndpointNotices;
  readonly reading: ReadingWork;
  /** Whether an endpoint may receive requests now. */
  readonly mayReceive: (endpoint: EndpointEntry) => boolean;
  readonly send: SendAttempt;
  readonly sink: CallerSink;
  /** The time until the request must be answered, in ms. */
  readonly leftMs: number;
  /** Whether a larger model should answer instead. */
  readonly decideEscalation: (confidence: number) => boolean;
}

/** Why the gateway gives up an attempt. */
type AbortReason = 'deadline' | 'stall' | 'overdue' | 'left';

/** The endpoint, and the model that the gateway chose. */
export interface AttemptChoice {
  readonly endpoint: EndpointEntry;
  /** `null` leaves the caller's word. */
  readonly model: string | null;
  /** The rank at the endpoint; 0 goes first. `null` leaves its default. */
  readonly urgency: number | null;
  /** How long the endpoint reads what it already has, in ms. */
  readonly backlogMs: number;
  readonly plan: PrefillPlan;
  /** When its answer should begin, in ms. */
  readonly expectedMs: number;
}

/** Runs one attempt to its end. */
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
  run.beganMs = null;
  run.expectedMs = expectedMs;
  run.mayBeginLate =
    expectedMs > admitted.route.objectiveMs * EXPECTED_LATE_SHARE;
  run.uncachedTokens = plan.uncachedTokens;
  const abortForCaller = () => abort('left');
  call.signal.addEventListener('abort', abortForCaller);
  using _open = health.open(endpoint);
  using prefill = options.reading.start({
    endpoint,
    service: admitted.service.name,
    model,
    plan,
    backlogMs,
  });
  using _deadline = startWatchdog(clock, leftMs, () => abort('deadline'));
  using stall = startWatchdog(
    clock,
    computeFirstOutputTimeoutMs(run, startedAt),
    () => {
      if (!run.held) {
        if (canRetryElsewhere(run)) abort('stall');
        return;
      }
      // An endpoint that answers others will come to this request.
      run.mayBeginLate ||= health.hasAnsweredSince(endpoint, startedAt);
      const moreMs = findFallbackMs(run, clock.monotonic());
      if (moreMs > 0) stall.postpone(moreMs);
      else abort('overdue');
    },
  );
  try {
    if (call.signal.aborted) return {type: 'left'};
    const outcome = await options.send(call, {
      endpoint,
      customer: admitted.customer?.name ?? null,
      model,
      urgency,
      lastEventId: run.lastEventId,
      budgetMs: Math.max(1, Math.floor(leftMs)),
      mayReuseConnection: admitted.isRepeatable,
      mayBegin: () => options.mayReceive(endpoint),
      signal: controller.signal,
    });
    if (outcome.type === 'answer') {
      run.beganMs = clock.monotonic() - startedAt;
      prefill.begin();
    }
    const result = await handleOutcome(options, run, {
      endpoint,
      outcome,
      onProgress: ms => stall.postpone(ms),
    });
    return explainAbort(result, {aborted, startedAt});
  } finally {
    call.signal.removeEventListener('abort', abortForCaller);
  }
}

/** Names the reason of the gateway itself where it broke an attempt off. */
function explainAbort(
  result: AttemptResult,
  {aborted, startedAt}: {aborted: AbortReason | null; startedAt: number},
): AttemptResult {
  if (aborted === null || result.type === 'delivered') return result;
  if (aborted === 'left') return {type: 'left'};
  if (result.type !== 'broken') return result;
  if (aborted === 'overdue') return {type: 'overdue', startedAt};
  return {...result, isUnreachable: false, reason: aborted};
}

/** Delivers an answer that was held. */
export async function deliverHeld(
  options: Pick<RunAttemptOptions, 'clock' | 'sink' | 'leftMs'>,
  run: CallRun,
  held: HeldAnswer,
): Promise<AttemptResult> {
  const {clock, leftMs} = options;
  const {signal} = run.call;
  const drop = () => held[Symbol.dispose]();
  signal.addEventListener('abort', drop);
  using _held = held;
  using _deadline = startWatchdog(clock, leftMs, drop);
  using stall = startWatchdog(clock, STALL_MIN_MS, drop);
  try {
    const result = await deliverAnswer(options, run, held.createAnswer(), ms =>
      stall.postpone(ms),
    );
    return signal.aborted ? {type: 'left'} : result;
  } finally {
    signal.removeEventListener('abort', drop);
  }
}

/** The time until a held answer is delivered, in ms; 0 when it is due. */
export function findFallbackMs(
  {call, admitted, mayBeginLate}: CallRun,
  nowMs: number,
): number {
  const {objectiveMs} = admitted.route;
  const dueMs = objectiveMs * (mayBeginLate ? FALLBACK_FACTOR : FALLBACK_SHARE);
  return Math.max(0, call.receivedAt + dueMs - nowMs);
}

/** Whether another endpoint could go on where this attempt stops. */
function canRetryElsewhere({admitted, runs}: CallRun): boolean {
  return admitted.isRepeatable && runs + 1 < admitted.route.maxAttempts;
}

/** How long the first event or the answer is waited for, in ms. */
function computeFirstOutputTimeoutMs(run: CallRun, nowMs: number): number {
  if (run.held) return findFallbackMs(run, nowMs);
  const {objectiveMs, repeatability} = run.admitted.route;
  const timeoutMs = Math.max(
    FIRST_OUTPUT_TIMEOUT_MIN_MS,
    objectiveMs * FIRST_OUTPUT_TIMEOUT_FACTOR,
  );
  return repeatability === 'stream'
    ? Math.max(STALL_MIN_MS, timeoutMs)
    : timeoutMs;
}

interface ReceivedOutcome {
  readonly endpoint: EndpointEntry;
  readonly outcome: AttemptOutcome;
  /** Tells that the answer goes on, and how long the next piece may take. */
  readonly onProgress: (ms: number) => void;
}

async function handleOutcome(
  options: RunAttemptOptions,
  run: CallRun,
  {endpoint, outcome, onProgress}: ReceivedOutcome,
): Promise<AttemptResult> {
  switch (outcome.type) {
    case 'not-sent':
    case 'withdrawn':
      return outcome;
    case 'not-run':
      options.health.recordAnswer(endpoint);
      options.notices.record(endpoint, outcome.facts);
      return {
        type: 'not-run',
        isFull: outcome.status !== 421,
        reason: `status ${outcome.status}`,
      };
    case 'broken':
      return {type: 'broken', isUnreachable: false, reason: outcome.reason};
    case 'aborted':
      return {type: 'broken', isUnreachable: false, reason: 'aborted'};
    case 'answer':
      options.health.recordAnswer(endpoint);
      options.notices.record(endpoint, outcome.answer.facts);
      return handleAnswer(options, run, outcome.answer, {endpoint, onProgress});
  }
}

async function handleAnswer(
  options: RunAttemptOptions,
  run: CallRun,
  answer: EndpointAnswer,
  {endpoint, onProgress}: Pick<ReceivedOutcome, 'endpoint' | 'onProgress'>,
): Promise<AttemptResult> {
  const {sink} = options;
  const problem = findProblem(run, answer);
  if (problem !== null) {
    answer.cancel();
    return {type: 'broken', isUnreachable: false, reason: problem};
  }
  const {confidence} = answer.facts;
  run.confidence = confidence;
  if (
    confidence !== null &&
    !sink.hasBegun &&
    options.decideEscalation(confidence)
  ) {
    hold(options, run, {endpoint, answer});
    return {type: 'escalated', confidence};
  }
  return deliverAnswer(options, run, answer, onProgress);
}

/** Keeps an answer while a larger model is asked. */
function hold(
  {health}: RunAttemptOptions,
  run: CallRun,
  {endpoint, answer}: {endpoint: EndpointEntry; answer: EndpointAnswer},
): void {
  const open = health.open(endpoint);
  run.hold(new HeldAnswer({answer, endpoint, model: run.model, open}));
}

/** Passes an answer that is this request's on to the caller. */
async function deliverAnswer(
  options: Pick<RunAttemptOptions, 'clock' | 'sink'>,
  run: CallRun,
  answer: EndpointAnswer,
  onProgress: (ms: number) => void,
): Promise<AttemptResult> {
  const {clock, sink} = options;
  const isGood = answer.status < 500;
  if (isEventStream(answer.headers) && answer.status === 200) {
    return relayEvents({clock, sink, onProgress}, run, answer);
  }
  if (sink.hasBegun) {
    // The stream that was begun cannot go on with another kind of answer.
    answer.cancel();
    return {
      type: 'broken',
      isUnreachable: false,
      reason: `status ${answer.status}`,
    };
  }
  const body = await readWhole(answer);
  if (body === null) {
    return {
      type: 'broken',
      isUnreachable: false,
      reason: 'the answer broke off',
    };
  }
  run.recordFirstOutput(clock.monotonic() - run.call.receivedAt);
  const {status, headers} = answer;
  if (!isGood && run.admitted.isRepeatable) {
    return {type: 'failed', answer: {status, headers, body}};
  }
  sink.answer(status, headers, body);
  return {type: 'delivered', status, isGood};
}

/** Why an answer cannot be this request's; `null` when it can. */
function findProblem({call}: CallRun, {facts, status}: EndpointAnswer) {
  if (facts.attemptId !== call.facts.attemptId) {
    return 'the answer belongs to another request';
  }
  if (status >= 200 && status < 300 && !facts.isSigned) {
    return 'the answer is not signed';
  }
  return null;
}

/** Reads a whole body; `null` when it broke off or is too large. */
async function readWhole(answer: EndpointAnswer): Promise<Buffer | null> {
  const pieces: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const piece of answer.body) {
      pieces.push(piece);
      size += piece.length;
      if (size > MAX_HELD_BYTES) {
        answer.cancel();
        return null;
      }
    }
  } catch {
    // A body that breaks off is an outcome; the attempt's line reports it.
    return null;
  }
  return Buffer.concat(pieces);
}

function isEventStream(headers: readonly Header[]): boolean {
  return headers.some(
    ([name, value]) =>
      name.toLowerCase() === 'content-type' &&
      value.toLowerCase().startsWith('text/event-stream'),
  );
}
