/**
 * Runs one chat completion: plan, admit, dispatch, settle.
 *
 * Events are yielded as they arrive. The end event is yielded only after the
 * bill is committed; a failure is the last element if the answer is incomplete.
 */
import type {
  AnswerEvent,
  RequestError,
  Usage,
} from '../../protocol/completion.ts';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import type {Bill} from '../../protocol/ledger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {Permit} from '../limits/permit.ts';
import type {CompletionPlan, PlanStep} from '../routing/completion_plan.ts';
import type {RouteOptions} from '../routing/endpoint_router.ts';
import {
  admitCompletion,
  pinSession,
  planCall,
  type Admission,
  type CompletionCall,
} from './admission.ts';
import {AnswerRun, type AnswerFailure} from './answer_run.ts';
import {createDeadline, type Deadline} from './deadline.ts';
import {
  DEFAULT_DEADLINE_MS,
  SETTLE_ERROR_WAIT_MS,
  type RequestContext,
} from './request_context.ts';
import {
  billUnconfirmedError,
  describeNoVersion,
  describeRefusal,
  describeUnanswered,
  ledgerUnavailableError,
} from './request_errors.ts';
import type {RequestRecord} from './request_history.ts';
import {runShadow} from './run_shadow.ts';

export type {CompletionCall} from './admission.ts';

/** The request was admitted; nothing of its answer is known yet. */
export interface CompletionAccepted {
  readonly type: 'accepted';
  /** Whether the session was moved off the version it was pinned to. */
  readonly moved: boolean;
}

/** The event before the first chunk. */
export interface CompletionStart {
  readonly type: 'start';
  readonly version: string;
}

export type CompletionEvent =
  CompletionAccepted | CompletionStart | AnswerEvent;

type CompletionOutcome = Outcome<CompletionEvent, RequestError>;
type AnswerEnd = Extract<AnswerEvent, {type: 'end'}>;

/** The length of the prompt prefix that the choice of an endpoint uses. */
const ROUTED_PROMPT_CHARACTERS = 8_192;

/** Runs a completion and yields its events. */
export async function* runCompletion(
  call: CompletionCall,
  context: RequestContext,
  signal: AbortSignal,
): AsyncGenerator<CompletionOutcome, void> {
  const run = new CompletionRun(call, context);
  try {
    yield* run.stream(signal);
  } finally {
    run.finish();
  }
}

/** A complete answer. */
interface HeldAnswer {
  readonly run: AnswerRun;
  readonly end: AnswerEnd;
}

/** The handling of one completion from planning to settlement. */
class CompletionRun {
  private readonly record: RequestRecord;
  private readonly deadline: Deadline;
  private readonly startedAt: number;
  private readonly route: Omit<RouteOptions, 'pool'>;
  private sent = false;
  private admitted = false;
  private settled = false;
  private code = '';
  private firstTokenMs?: number;
  private permit: {pool: string; held: Permit} | null = null;
  private released: {version: Version; run: AnswerRun} | null = null;

  constructor(
    private readonly call: CompletionCall,
    private readonly context: RequestContext,
  ) {
    const {clock} = context;
    this.startedAt = clock.monotonic();
    this.deadline = createDeadline(
      clock,
      call.deadlineMs ?? DEFAULT_DEADLINE_MS,
    );
    this.record = context.history.begin({
      requestId: call.requestId,
      gateway: context.gateway,
      customer: call.customer.name,
      kind: 'completion',
      wanted: call.request.model,
      session: call.session,
      receivedAtMs: clock.now(),
    });
    const prompt = readPrompt(call);
    this.route = {
      prompt: prompt.slice(0, ROUTED_PROMPT_CHARACTERS),
      bytes: prompt.length,
    };
  }

  async *stream(signal: AbortSignal): AsyncGenerator<CompletionOutcome, void> {
    const {call, context, deadline} = this;
    const planned = planCall(call, context, deadline);
    if (!planned.ok) {
      yield this.recordFailure(planned.error);
      return;
    }
    const plan = planned.value;
    this.recordPlan(plan);
    const [first] = plan.steps;
    if (!first) {
      yield this.recordFailure(describeNoVersion(plan.rejected));
      return;
    }
    // The limiter goes first, so that a refusal puts no load on the ledger.
    const permit = await this.acquirePermit(first.version, signal);
    if (!permit.ok) {
      yield this.recordFailure(permit.error);
      return;
    }
    const admission = await admitCompletion(call, context, deadline, plan);
    if (!admission.ok) {
      yield this.refuse(admission.error);
      return;
    }
    this.admitted = true;
    if (admission.value.plan !== plan) this.recordPlan(admission.value.plan);
    yield succeed({type: 'accepted', moved: admission.value.moved});
    runShadow(call, context, admission.value.plan);
    yield* this.runSteps(admission.value, signal);
  }

  /** Records the end of the request, and settles it if it is still open. */
  finish(): void {
    const {context, record} = this;
    this.permit?.held[Symbol.dispose]();
    if (record.outcome === 'running') {
      void this.settleFailed('the caller left', true);
    }
    record.durationMs = context.clock.monotonic() - this.startedAt;
    context.observer.observeRequest({
      requestId: record.requestId,
      customer: record.customer,
      kind: 'completion',
      outcome: record.outcome === 'running' ? 'unknown' : record.outcome,
      code: this.code,
      durationMs: record.durationMs,
      queuedMs: record.queuedMs,
      firstTokenMs: this.firstTokenMs,
      attempts: record.attempts.length,
      bill: record.bill,
    });
  }

  private async *runSteps(
    admission: Admission,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionOutcome, void> {
    let failure: AnswerFailure = {message: 'no version may run', sent: false};
    for (const planned of this.listSteps(admission)) {
      const step = await this.pinStep(planned, admission);
      if (!step) {
        failure = {message: 'the session is not known', sent: this.sent};
        break;
      }
      const permit = await this.acquirePermit(step.version, signal);
      if (!permit.ok) {
        if (this.sent) break;
        yield await this.finishWithError(permit.error);
        return;
      }
      const run = this.createRun(step, permit.value);
      const end =
        step.release === 'direct'
          ? yield* this.runDirect(step, run, admission, signal)
          : yield* this.runRated(step, run, admission, signal);
      if (end === null) return;
      failure = end;
      this.sent ||= end.sent;
      if (this.released || signal.aborted || this.deadline.hasPassed()) break;
    }
    yield await this.settleFailed(failure.message, signal.aborted);
  }

  /** Lists the steps to run; fallbacks are not used for a session. */
  private listSteps({plan}: Admission): PlanStep[] {
    const fallbacks = this.call.session === undefined ? plan.fallbacks : [];
    return [...plan.steps, ...fallbacks.map(createDirectStep)];
  }

  /**
   * Pins a session before its answer streams. Returns the step of the version
   * that it is pinned to, or `null` if pinning failed.
   */
  private async pinStep(
    step: PlanStep,
    admission: Admission,
  ): Promise<PlanStep | null> {
    const {call, context, deadline} = this;
    if (call.session === undefined || admission.pinned) return step;
    if (step.release === 'rated') return step;
    const pin = await pinSession(call, context, deadline, step.version);
    if (pin === formatVersion(step.version)) return step;
    const version = context
      .getView()
      ?.declaration?.versions.find(each => formatVersion(each) === pin);
    return version ? createDirectStep(version) : null;
  }

  /** Relays an answer; returns why it is incomplete, or `null`. */
  private async *runDirect(
    step: PlanStep,
    run: AnswerRun,
    admission: Admission,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionOutcome, AnswerFailure | null> {
    const {version} = step;
    for await (const event of run.stream(signal)) {
      if (!event.ok) return event.error;
      this.firstTokenMs ??= this.getElapsedMs();
      if (event.value.type === 'delta' && !this.call.request.stream) continue;
      if (!this.released) {
        const refusal = await admission.committed;
        if (refusal) {
          yield await this.finishWithError(this.describeLateRefusal(refusal));
          return null;
        }
        this.released = {version, run};
        yield succeed({type: 'start', version: formatVersion(version)});
      }
      if (event.value.type === 'delta') {
        yield event as CompletionOutcome;
        continue;
      }
      const answer = {run, end: event.value};
      yield* this.release(answer, version, !this.call.request.stream);
      return null;
    }
    return {message: 'the stream ended', sent: true};
  }

  /**
   * Holds an answer until it is rated; returns why it was not released, or
   * `null`.
   */
  private async *runRated(
    step: PlanStep,
    run: AnswerRun,
    admission: Admission,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionOutcome, AnswerFailure | null> {
    let end: AnswerEnd | null = null;
    for await (const event of run.stream(signal)) {
      if (!event.ok) return event.error;
      if (event.value.type === 'end') end = event.value;
    }
    if (!end) return {message: 'the stream ended', sent: true};
    const accepted = await this.rateAnswer(step, run);
    if (!accepted) return {message: 'the answer was rated poor', sent: true};
    const refusal = await admission.committed;
    if (refusal) {
      yield await this.finishWithError(this.describeLateRefusal(refusal));
      return null;
    }
    if (this.call.session !== undefined) {
      const {call, context, deadline} = this;
      const pin = await pinSession(call, context, deadline, step.version);
      if (pin !== formatVersion(step.version)) {
        return {
          message: 'the session is pinned elsewhere',
          sent: true,
        };
      }
    }
    this.released = {version: step.version, run};
    yield succeed({type: 'start', version: formatVersion(step.version)});
    yield* this.release({run, end}, step.version, true);
    return null;
  }

  /** Yields the text if it was held, and the end once it is billed. */
  private async *release(
    answer: HeldAnswer,
    version: Version,
    held: boolean,
  ): AsyncGenerator<CompletionOutcome, void> {
    const {call, context} = this;
    const text = answer.run.answer;
    if (held && text !== '') {
      yield succeed({type: 'delta', offset: 0, text});
    }
    const settled = await this.settleAnswered(answer, version);
    if (settled.ok) {
      context.observer.observeAnswer({
        requestId: call.requestId,
        customer: call.customer.name,
        requestClass: call.requestClass ?? 'default',
        version: formatVersion(version),
        prompt: call.request.messages,
        answer: text,
        released: true,
        score: this.findReleasedScore(version),
      });
    }
    yield settled;
  }

  private findReleasedScore(version: Version): number | undefined {
    const rating = this.record.ratings.at(-1);
    const isCurrent =
      rating?.released && rating.version === formatVersion(version);
    return isCurrent ? (rating.score ?? undefined) : undefined;
  }

  private async rateAnswer(step: PlanStep, run: AnswerRun): Promise<boolean> {
    const {call, context} = this;
    const version = formatVersion(step.version);
    const request = {
      requestId: call.requestId,
      customer: call.customer.name,
      requestClass: call.requestClass ?? 'default',
      version,
      prompt: call.request.messages,
      answer: run.answer,
    };
    const rated = await context.rate({
      ...request,
      deadlineMs: this.deadline.remainingMs(),
    });
    const released = rated.ok
      ? rated.value >= step.minimumScore
      : step.whenUnrated === 'release';
    const score = rated.ok ? rated.value : null;
    this.record.ratings.push({version, score, released});
    context.logger.info('Rates a held answer.', {
      request: call.requestId,
      version,
      score,
      released,
      reason: rated.ok ? `at least ${step.minimumScore}` : rated.error,
    });
    if (!released) {
      context.observer.observeAnswer({
        ...request,
        released,
        score: score ?? undefined,
      });
    }
    return released;
  }

  /** Acquires a permit for the version's pool, unless it is already held. */
  private async acquirePermit(
    version: Version,
    signal: AbortSignal,
  ): Promise<Outcome<Permit, RequestError>> {
    const {pool} = version;
    if (this.permit?.pool === pool) return succeed(this.permit.held);
    this.permit?.held[Symbol.dispose]();
    this.permit = null;
    const {customer} = this.call;
    const permit = await this.context.decisions.limiter.acquire({
      customer: customer.name,
      weight: customer.weight,
      concurrency: customer.concurrency,
      pool,
      deadlineMs: this.deadline.remainingMs(),
      signal,
    });
    if (!permit.ok) return fail(describeRefusal(permit.error));
    this.permit = {pool, held: permit.value};
    this.record.queuedMs += permit.value.queuedMs;
    return permit;
  }

  private createRun(step: PlanStep, permit: Permit): AnswerRun {
    const {call, context, record, deadline} = this;
    return new AnswerRun({
      context,
      record,
      customer: call.customer.name,
      request: call.request,
      version: step.version,
      deadline,
      permit,
      route: {
        ...this.route,
        pool: step.version.pool,
        version: formatVersion(step.version),
      },
      relayed: step.release === 'direct' && call.request.stream,
      expectedFirstTokenMs: findExpectedFirstToken(call),
      getElapsedMs: () => this.getElapsedMs(),
    });
  }

  private recordPlan(plan: CompletionPlan): void {
    const {record} = this;
    record.candidates = [
      ...plan.steps.map(step => formatVersion(step.version)),
      ...plan.fallbacks.map(formatVersion),
    ];
    record.reasons = plan.reasons;
    record.rejected = plan.rejected;
  }

  private getElapsedMs(): number {
    return this.context.clock.monotonic() - this.startedAt;
  }

  private async settleAnswered(
    {run, end}: HeldAnswer,
    version: Version,
  ): Promise<CompletionOutcome> {
    const bill = createBill(version, run.endpoint, end.usage);
    this.settled = true;
    const result = await this.settle('answered', bill, Infinity);
    if (!result) return this.recordFailure(billUnconfirmedError);
    this.record.outcome = 'answered';
    this.record.bill = bill;
    return succeed(end);
  }

  /** Settles a request without a complete answer and returns its error. */
  private async settleFailed(
    reason: string,
    cancelled: boolean,
  ): Promise<CompletionOutcome> {
    const {released, deadline} = this;
    const sent =
      this.sent || this.record.attempts.some(each => each.chunks > 0);
    // A caller that disconnects is billed for the chunks released to it.
    const bill =
      cancelled && released && released.run.chunkCount > 0
        ? createBill(released.version, released.run.endpoint, {
            promptTokens: 0,
            completionTokens: released.run.chunkCount,
          })
        : undefined;
    return this.finishWithError(
      describeUnanswered({
        sent,
        reason,
        deadlinePassed: deadline.hasPassed(),
        repeatable: true,
      }),
      bill,
    );
  }

  private async finishWithError(
    error: RequestError,
    bill?: Bill,
  ): Promise<CompletionOutcome> {
    const failure = this.recordFailure(error);
    if (this.admitted && !this.settled) {
      this.settled = true;
      this.record.bill = bill;
      await this.settle(error.outcome, bill, SETTLE_ERROR_WAIT_MS);
    }
    return failure;
  }

  /**
   * Refuses a request that was not admitted, or has no version to run after its
   * admission. Settles it as not-run unless another request uses its key.
   */
  private refuse(error: RequestError): CompletionOutcome {
    if (error.code !== 'key-open' && error.code !== 'key-reused') {
      void this.settle('not-run', undefined, 0);
    }
    return this.recordFailure(error);
  }

  /**
   * Returns the error for an admission that failed after the request had been
   * dispatched: it may have run.
   */
  private describeLateRefusal(refusal: RequestError): RequestError {
    if (refusal !== ledgerUnavailableError) return refusal;
    return {...refusal, outcome: 'unknown'};
  }

  private recordFailure(error: RequestError): CompletionOutcome {
    this.record.outcome = error.outcome;
    this.record.error = error.message;
    this.code = error.code;
    return fail(error);
  }

  private settle(
    status: 'answered' | 'unknown' | 'not-run',
    bill: Bill | undefined,
    waitMs: number,
  ) {
    const {call, context, deadline} = this;
    return context.settler.settle(
      {
        type: 'settle',
        requestId: call.requestId,
        customer: call.customer.name,
        key: call.key,
        status,
        bill,
        atMs: context.clock.now(),
      },
      Math.min(waitMs, Math.max(deadline.remainingMs(), SETTLE_ERROR_WAIT_MS)),
    );
  }
}

function findExpectedFirstToken(call: CompletionCall): number | undefined {
  const {targets} = call.customer;
  const wanted = call.requestClass ?? 'default';
  const target =
    targets.find(each => each.class === wanted) ??
    targets.find(each => each.class === 'default');
  return target?.first_token_ms;
}

function createDirectStep(version: Version): PlanStep {
  return {version, release: 'direct', minimumScore: 0, whenUnrated: 'release'};
}

function createBill(version: Version, endpoint: string, usage: Usage): Bill {
  return {
    target: formatVersion(version),
    endpoint,
    ...usage,
    cost: computeCost(version, usage),
  };
}

/** Computes the cost of an answer in micro-units of currency. */
export function computeCost(version: Version, usage: Usage): number {
  const prompt = (usage.promptTokens * version.prompt_price) / 1_000;
  const completion =
    (usage.completionTokens * version.completion_price) / 1_000;
  return prompt + completion;
}

function readPrompt(call: CompletionCall): string {
  return call.request.messages
    .map(({content}) =>
      typeof content === 'string' ? content : JSON.stringify(content),
    )
    .join('\n');
}
