/** Records how a completion ends and settles it in the ledger, once. */
import type {RequestError, Usage} from '../../protocol/completion.ts';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import type {Bill} from '../../protocol/ledger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {CompletionPlan} from '../routing/completion_plan.ts';
import {computeCost} from '../routing/version_facts.ts';
import type {CompletionCall} from './admission.ts';
import type {Deadline} from './deadline.ts';
import {SETTLE_ERROR_WAIT_MS, type RequestContext} from './request_context.ts';
import {
  billUnconfirmedError,
  describeUnanswered,
  ledgerUnavailableError,
} from './request_errors.ts';
import type {RequestRecord} from './request_history.ts';

/** Work that is billed. */
export interface BilledWork {
  readonly version: Version;
  readonly endpoint: string;
  readonly usage: Usage;
}

/** How a request ended without a complete answer. */
export interface UnansweredOptions {
  readonly reason: string;
  /** Whether an attempt may have reached an endpoint. */
  readonly sent: boolean;
  /** What was released to a caller that left. */
  readonly work?: BilledWork;
}

export interface CompletionSettlementOptions {
  readonly call: CompletionCall;
  readonly context: RequestContext;
  readonly deadline: Deadline;
}

export class CompletionSettlement {
  readonly record: RequestRecord;
  private readonly startedAt: number;
  private admitted = false;
  private settled = false;
  private code = '';

  constructor(private readonly options: CompletionSettlementOptions) {
    const {call, context} = options;
    this.startedAt = context.clock.monotonic();
    this.record = context.history.begin({
      requestId: call.requestId,
      gateway: context.gateway,
      customer: call.customer.name,
      kind: 'completion',
      wanted: call.request.model,
      session: call.session,
      receivedAtMs: context.clock.now(),
    });
  }

  /** Milliseconds since the start of the request. */
  getElapsedMs(): number {
    return this.options.context.clock.monotonic() - this.startedAt;
  }

  recordPlan(plan: CompletionPlan): void {
    const {record} = this;
    record.candidates = [
      ...plan.steps.map(step => formatVersion(step.version)),
      ...plan.fallbacks.map(formatVersion),
    ];
    record.reasons = plan.reasons;
    record.rejected = plan.rejected;
  }

  /** Records that the ledger holds a claim that must be settled. */
  recordAdmission(): void {
    this.admitted = true;
  }

  /** Records how the request failed. */
  recordFailure(error: RequestError): Outcome<never, RequestError> {
    this.record.outcome = error.outcome;
    this.record.error = error.message;
    this.code = error.code;
    return fail(error);
  }

  /** Bills a complete answer; fails if the bill is not confirmed. */
  async settleAnswered(work: BilledWork): Promise<Outcome<null, RequestError>> {
    const bill = createBill(work);
    this.settled = true;
    const result = await this.settle('answered', bill, Infinity);
    if (!result) return this.recordFailure(billUnconfirmedError);
    this.record.outcome = 'answered';
    this.record.bill = bill;
    return succeed(null);
  }

  /** Settles a request without a complete answer and returns its error. */
  async settleUnanswered({
    reason,
    sent,
    work,
  }: UnansweredOptions): Promise<Outcome<never, RequestError>> {
    const {record, options} = this;
    const error = describeUnanswered({
      sent: sent || record.attempts.some(each => each.chunks > 0),
      reason,
      deadlinePassed: options.deadline.hasPassed(),
      repeatable: true,
    });
    return this.finishWithError(error, work && createBill(work));
  }

  /** Records an error and settles the request if it was admitted. */
  async finishWithError(
    error: RequestError,
    bill?: Bill,
  ): Promise<Outcome<never, RequestError>> {
    const failure = this.recordFailure(error);
    if (this.admitted && !this.settled) {
      this.settled = true;
      this.record.bill = bill;
      await this.settle(error.outcome, bill, SETTLE_ERROR_WAIT_MS);
    }
    return failure;
  }

  /**
   * Refuses a request that was not admitted. Settles it as not-run unless
   * another request uses its key.
   */
  refuse(error: RequestError): Outcome<never, RequestError> {
    if (error.code !== 'key-open' && error.code !== 'key-reused') {
      void this.settle('not-run', undefined, 0);
    }
    return this.recordFailure(error);
  }

  /**
   * Ends a request whose admission failed after it had been dispatched: it may
   * have run.
   */
  finishWithLateRefusal(
    refusal: RequestError,
  ): Promise<Outcome<never, RequestError>> {
    const isUnknown = refusal === ledgerUnavailableError;
    return this.finishWithError(
      isUnknown ? {...refusal, outcome: 'unknown'} : refusal,
    );
  }

  /** Reports the end of the request to the observer. */
  finish(firstTokenMs: number | undefined): void {
    const {record, options} = this;
    record.durationMs = this.getElapsedMs();
    options.context.observer.observeRequest({
      requestId: record.requestId,
      customer: record.customer,
      kind: 'completion',
      outcome: record.outcome === 'running' ? 'unknown' : record.outcome,
      code: this.code,
      durationMs: record.durationMs,
      queuedMs: record.queuedMs,
      firstTokenMs,
      attempts: record.attempts.length,
      bill: record.bill,
    });
  }

  private settle(
    status: 'answered' | 'unknown' | 'not-run',
    bill: Bill | undefined,
    waitMs: number,
  ) {
    const {call, context, deadline} = this.options;
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

function createBill({version, endpoint, usage}: BilledWork): Bill {
  return {
    target: formatVersion(version),
    endpoint,
    ...usage,
    cost: computeCost(version, usage),
  };
}
