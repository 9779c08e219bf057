/**
 * Runs one chat completion: plan, admit, dispatch, settle.
 *
 * Events are yielded as they arrive. The end event is yielded only after the
 * bill is committed; a failure is the last element if the answer is incomplete.
 */
import type {AnswerEvent, RequestError} from '../../protocol/completion.ts';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {Permit} from '../limits/permit.ts';
import type {PlanStep} from '../routing/completion_plan.ts';
import type {RouteOptions} from '../routing/endpoint_router.ts';
import {createDirectStep} from '../routing/plan_cascade.ts';
import {
  admitCompletion,
  pinSession,
  planCall,
  type Admission,
  type CompletionCall,
} from './admission.ts';
import {AnswerRun, type AnswerFailure} from './answer_run.ts';
import {CompletionSettlement} from './completion_settlement.ts';
import {createDeadline, type Deadline} from './deadline.ts';
import {PoolPermits} from './pool_permits.ts';
import {rateHeldAnswer} from './rate_held_answer.ts';
import {DEFAULT_DEADLINE_MS, type RequestContext} from './request_context.ts';
import {describeNoVersion} from './request_errors.ts';
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
  private readonly deadline: Deadline;
  private readonly settlement: CompletionSettlement;
  private readonly route: Omit<RouteOptions, 'pool'>;
  private sent = false;
  private firstTokenMs?: number;
  private readonly permits: PoolPermits;
  /** Silent endpoints that were left for another version. */
  private readonly leftEndpoints = new Set<string>();
  private released: {version: Version; run: AnswerRun} | null = null;

  constructor(
    private readonly call: CompletionCall,
    private readonly context: RequestContext,
  ) {
    const deadline = createDeadline(
      context.clock,
      call.deadlineMs ?? DEFAULT_DEADLINE_MS,
    );
    this.deadline = deadline;
    this.settlement = new CompletionSettlement({call, context, deadline});
    const {record} = this.settlement;
    this.permits = new PoolPermits({call, context, deadline, record});
    const prompt = readPrompt(call);
    this.route = {
      prompt: prompt.slice(0, ROUTED_PROMPT_CHARACTERS),
      bytes: prompt.length,
    };
  }

  async *stream(signal: AbortSignal): AsyncGenerator<CompletionOutcome, void> {
    const {call, context, deadline, settlement} = this;
    const planned = planCall(call, context, deadline);
    if (!planned.ok) {
      yield settlement.recordFailure(planned.error);
      return;
    }
    const plan = planned.value;
    settlement.recordPlan(plan);
    const [first] = plan.steps;
    if (!first) {
      yield settlement.recordFailure(describeNoVersion(plan.rejected));
      return;
    }
    // The limiter goes first, so that a refusal puts no load on the ledger.
    const permit = await this.permits.acquire(first.version, signal);
    if (!permit.ok) {
      yield settlement.recordFailure(permit.error);
      return;
    }
    const admission = await admitCompletion(call, context, deadline, plan);
    if (!admission.ok) {
      yield settlement.refuse(admission.error);
      return;
    }
    settlement.recordAdmission();
    if (admission.value.plan !== plan) {
      settlement.recordPlan(admission.value.plan);
    }
    yield succeed({type: 'accepted', moved: admission.value.moved});
    runShadow(call, context, admission.value.plan);
    yield* this.runSteps(admission.value, signal);
  }

  /** Records the end of the request, and settles it if it is still open. */
  finish(): void {
    const {settlement} = this;
    this.permits[Symbol.dispose]();
    if (settlement.record.outcome === 'running') {
      void this.settleFailed('the caller left', true);
    }
    settlement.finish(this.firstTokenMs);
  }

  private async *runSteps(
    admission: Admission,
    signal: AbortSignal,
  ): AsyncGenerator<CompletionOutcome, void> {
    let failure: AnswerFailure = {message: 'no version may run', sent: false};
    const steps = this.listSteps(admission);
    for (const [index, planned] of steps.entries()) {
      const step = await this.pinStep(planned, admission);
      if (!step) {
        failure = {message: 'the session is not known', sent: this.sent};
        break;
      }
      const permit = await this.permits.acquire(step.version, signal);
      if (!permit.ok) {
        if (this.sent) break;
        yield await this.settlement.finishWithError(permit.error);
        return;
      }
      const run = this.createRun(step, permit.value, steps[index + 1]);
      const end =
        step.release === 'direct'
          ? yield* this.runDirect(step, run, admission, signal)
          : yield* this.runRated(step, run, admission, signal);
      if (end === null) return;
      failure = end;
      if (run.leftEndpoint !== null) this.leftEndpoints.add(run.leftEndpoint);
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
      this.firstTokenMs ??= this.settlement.getElapsedMs();
      if (event.value.type === 'delta' && !this.call.request.stream) continue;
      if (!this.released) {
        const refusal = await admission.committed;
        if (refusal) {
          yield await this.settlement.finishWithLateRefusal(refusal);
          return null;
        }
        this.released = {version, run};
        this.permits.release();
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
    const {call, context, deadline} = this;
    const {record} = this.settlement;
    const accepted = await rateHeldAnswer({
      call,
      context,
      record,
      deadline,
      step,
      run,
    });
    if (!accepted) return {message: 'the answer was rated poor', sent: true};
    const refusal = await admission.committed;
    if (refusal) {
      yield await this.settlement.finishWithLateRefusal(refusal);
      return null;
    }
    if (call.session !== undefined) {
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
    const settled = await this.settlement.settleAnswered({
      version,
      endpoint: answer.run.endpoint,
      usage: answer.end.usage,
    });
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
    yield settled.ok ? succeed(answer.end) : settled;
  }

  private findReleasedScore(version: Version): number | undefined {
    const rating = this.settlement.record.ratings.at(-1);
    const isCurrent =
      rating?.released && rating.version === formatVersion(version);
    return isCurrent ? (rating.score ?? undefined) : undefined;
  }

  private createRun(
    step: PlanStep,
    permit: Permit,
    next: PlanStep | undefined,
  ): AnswerRun {
    const {call, context, settlement, deadline} = this;
    return new AnswerRun({
      context,
      record: settlement.record,
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
      avoided: this.leftEndpoints,
      reserveFallback: silent =>
        next && !this.released
          ? this.permits.reserve(next.version, silent)
          : fail('no other version is planned'),
      getElapsedMs: () => settlement.getElapsedMs(),
    });
  }

  /** Settles a request without a complete answer; yields its error. */
  private settleFailed(
    reason: string,
    cancelled: boolean,
  ): Promise<CompletionOutcome> {
    const {released, sent} = this;
    // A caller that disconnects is billed for the chunks released to it.
    const work =
      cancelled && released && released.run.chunkCount > 0
        ? {
            version: released.version,
            endpoint: released.run.endpoint,
            usage: {
              promptTokens: 0,
              completionTokens: released.run.chunkCount,
            },
          }
        : undefined;
    return this.settlement.settleUnanswered({reason, sent, work});
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

function readPrompt(call: CompletionCall): string {
  return call.request.messages
    .map(({content}) =>
      typeof content === 'string' ? content : JSON.stringify(content),
    )
    .join('\n');
}
