/**
 * Runs one call of a plain service.
 *
 * The call is admitted by the ledger before any byte of it is sent. A call that
 * is not repeatable is not sent again once it may have run; a retry by the
 * caller gets the stored answer or `unknown`.
 */
import {isUtf8} from 'node:buffer';
import type {RequestError} from '../../protocol/completion.ts';
import type {Call, Customer, Service} from '../../protocol/declaration.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import type {Bill, StoredAnswer} from '../../protocol/ledger.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {Permit} from '../limits/permit.ts';
import type {EndpointChoice, RouteOptions} from '../routing/endpoint_router.ts';
import {AttemptSequence} from './attempt_sequence.ts';
import {createDeadline, waitAtMost, type Deadline} from './deadline.ts';
import type {AttemptError, ServiceAnswer} from './dispatch.ts';
import {
  DEFAULT_CALL_DEADLINE_MS,
  SETTLE_ERROR_WAIT_MS,
  type RequestContext,
} from './request_context.ts';
import {
  billUnconfirmedError,
  describeDuplicate,
  describeRefusal,
  describeUnanswered,
  leaseExpiredError,
  ledgerUnavailableError,
} from './request_errors.ts';
import type {AttemptRecord, RequestRecord} from './request_history.ts';
import type {SettleCommand} from './settler.ts';
import {SilentAttempt} from './silent_attempt.ts';

export interface ServiceCall {
  readonly requestId: string;
  readonly customer: Customer;
  readonly service: Service;
  /** The declared call that the request matches. */
  readonly call: Call;
  readonly method: string;
  /** The path with its query, relative to the service. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Buffer;
  /** The caller's idempotency key, or the request id. */
  readonly key: string;
  readonly digest: string;
  readonly deadlineMs?: number;
}

type CallOutcome = Outcome<ServiceAnswer, RequestError>;

/** The idle timeout of a repeatable call's first attempt; doubles each time. */
const INITIAL_SILENCE_MS = 5_000;

/** Runs a call of a plain service and returns its answer. */
export async function runServiceCall(
  call: ServiceCall,
  context: RequestContext,
  signal: AbortSignal,
): Promise<CallOutcome> {
  const run = new ServiceCallRun(call, context);
  const outcome = await run.run(signal);
  run.finish(outcome);
  return outcome;
}

interface AttemptOptions {
  readonly choice: EndpointChoice;
  readonly sequence: AttemptSequence;
  readonly permit: Permit;
  readonly signal: AbortSignal;
}

/** The handling of one call from admission to settlement. */
class ServiceCallRun {
  private readonly record: RequestRecord;
  private readonly deadline: Deadline;
  private readonly startedAt: number;
  private readonly route: RouteOptions;

  constructor(
    private readonly call: ServiceCall,
    private readonly context: RequestContext,
  ) {
    const {clock} = context;
    this.startedAt = clock.monotonic();
    this.deadline = createDeadline(
      clock,
      call.deadlineMs ?? DEFAULT_CALL_DEADLINE_MS,
    );
    this.route = {pool: call.service.pool, bytes: call.body.length};
    this.record = context.history.begin({
      requestId: call.requestId,
      gateway: context.gateway,
      customer: call.customer.name,
      kind: 'call',
      wanted: `${call.method} ${call.service.name}${call.path}`,
      receivedAtMs: clock.now(),
    });
  }

  async run(signal: AbortSignal): Promise<CallOutcome> {
    const {call, context} = this;
    if (!context.getView()) return fail(leaseExpiredError);
    const permit = await this.acquirePermit(signal);
    if (!permit.ok) return permit;
    using held = permit.value;
    this.record.queuedMs = held.queuedMs;
    const earlier = await this.admit();
    if (earlier) return earlier;
    let failure: AttemptError = {
      kind: 'not-sent',
      message: 'no endpoint takes work',
    };
    let sent = false;
    const {deadline, route} = this;
    const sequence = new AttemptSequence({context, deadline, route, signal});
    for (;;) {
      const next = sequence.choose();
      if (!next.ok) {
        if (this.record.attempts.length === 0) {
          failure = {kind: 'not-sent', message: next.error};
        }
        break;
      }
      const choice = next.value;
      if (!choice) break;
      const attempt = {choice, sequence, permit: held, signal};
      const answer = await this.runAttempt(attempt);
      if (answer.ok) return this.settleAnswered(choice, answer.value);
      failure = answer.error;
      sent ||= failure.kind === 'lost';
      sequence.recordError(choice, failure);
      if (sent && !call.call.repeatable) break;
    }
    return fail(await this.settleFailed(failure, sent));
  }

  /** Records the end of the call. */
  finish(outcome: CallOutcome): void {
    const {context, record} = this;
    record.outcome = outcome.ok ? 'answered' : outcome.error.outcome;
    record.error = outcome.ok ? undefined : outcome.error.message;
    record.durationMs = context.clock.monotonic() - this.startedAt;
    context.observer.observeRequest({
      requestId: record.requestId,
      customer: record.customer,
      kind: 'call',
      outcome: record.outcome,
      code: outcome.ok ? '' : outcome.error.code,
      durationMs: record.durationMs,
      queuedMs: record.queuedMs,
      attempts: record.attempts.length,
      bill: record.bill,
    });
  }

  private async acquirePermit(
    signal: AbortSignal,
  ): Promise<Outcome<Permit, RequestError>> {
    const {customer, service} = this.call;
    const permit = await this.context.decisions.limiter.acquire({
      customer: customer.name,
      weight: customer.weight,
      concurrency: customer.concurrency,
      pool: service.pool,
      deadlineMs: this.deadline.remainingMs(),
      signal,
    });
    return permit.ok ? permit : fail(describeRefusal(permit.error));
  }

  /**
   * Claims the key in the ledger. Returns `null` if the call may run, otherwise
   * the stored answer or the error for the caller.
   */
  private async admit(): Promise<CallOutcome | null> {
    const {call, context, deadline} = this;
    const submitted = context.ledger.submit(call.customer.name, call.key, {
      type: 'admit',
      requestId: call.requestId,
      customer: call.customer.name,
      key: call.key,
      digest: call.digest,
      repeatable: call.call.repeatable,
      gateway: context.gateway,
      repin: false,
      atMs: context.clock.now(),
    });
    const result = await waitAtMost(
      submitted,
      deadline.remainingMs(),
      context.clock,
    );
    if (!result) {
      // Nothing was sent, but the claim may be committed: settles as not-run.
      context.settler.settleAfter(submitted, this.createSettlement('not-run'));
      return fail(ledgerUnavailableError);
    }
    if (result.type === 'answered' && result.answer) {
      return succeed(decodeAnswer(result.answer));
    }
    if (result.type === 'admitted') return null;
    return fail(describeDuplicate(result));
  }

  private async runAttempt({
    choice,
    sequence,
    permit,
    signal,
  }: AttemptOptions): Promise<Outcome<ServiceAnswer, AttemptError>> {
    const {call, context, deadline, record} = this;
    const attemptRecord = this.beginRecord(choice);
    record.attempts.push(attemptRecord);
    using routed = context.decisions.router.begin(choice.endpoint, this.route);
    const {repeatable} = call.call;
    const silent = new SilentAttempt({
      context,
      requestId: record.requestId,
      kind: 'call',
      target: call.service.name,
      endpoint: choice.endpoint.name,
      routed,
      reserveNext: stall => sequence.reserve(choice, stall),
    });
    const earlier = record.attempts.length - 1;
    const remainingMs = deadline.remainingMs();
    const answer = await context.dispatcher.callService(
      {
        address: choice.endpoint.address,
        attemptId: attemptRecord.attemptId,
        requestId: call.requestId,
        customer: call.customer.name,
        key: call.key,
        method: call.method,
        path: call.path,
        contentType: call.contentType,
        body: call.body,
        deadlineMs: remainingMs,
        silenceMs: repeatable ? INITIAL_SILENCE_MS * 2 ** earlier : remainingMs,
        repeatable,
        // A call that may not be repeated has no successor.
        decideStall: repeatable ? silent.decide : undefined,
      },
      signal,
    );
    attemptRecord.endedMs = this.getElapsedMs();
    attemptRecord.result = answer.ok ? 'answered' : answer.error.message;
    if (answer.ok) silent.recordEvent();
    else silent.recordEnd(answer.error.message);
    const durationMs = attemptRecord.endedMs - attemptRecord.startedMs;
    const failed = signal.aborted ? 'cancelled' : 'failed';
    const result = answer.ok ? 'answered' : failed;
    if (answer.ok) {
      routed.recordFirstToken(durationMs);
      permit.recordFirstToken(durationMs);
    }
    routed.recordEnd(result);
    context.observer.observeAttempt({
      kind: 'call',
      requestId: record.requestId,
      customer: record.customer,
      target: call.service.name,
      endpoint: choice.endpoint.name,
      result,
      firstTokenMs: answer.ok ? durationMs : undefined,
      durationMs,
      remoteBytes: attemptRecord.remote
        ? call.body.length + (answer.ok ? answer.value.body.length : 0)
        : 0,
    });
    return answer;
  }

  private beginRecord(choice: EndpointChoice): AttemptRecord {
    const {call, context, record} = this;
    context.logger.info('Routes a call.', {
      request: call.requestId,
      customer: call.customer.name,
      service: call.service.name,
      endpoint: choice.endpoint.name,
      attempt: record.attempts.length + 1,
      reason: choice.reason,
      rejected: choice.rejected
        .map(each => `${each.endpoint}: ${each.reason}`)
        .join(', '),
    });
    return {
      attemptId: createIdentifier('att'),
      endpoint: choice.endpoint.name,
      reason: choice.reason,
      rejected: choice.rejected,
      remote: choice.endpoint.region !== context.region,
      startedMs: this.getElapsedMs(),
      resumeOffset: 0,
      chunks: 0,
    };
  }

  private async settleAnswered(
    choice: EndpointChoice,
    answer: ServiceAnswer,
  ): Promise<CallOutcome> {
    const {call, deadline, record} = this;
    const bill: Bill = {
      target: call.service.name,
      endpoint: choice.endpoint.name,
      promptTokens: 0,
      completionTokens: 0,
      cost: call.call.price,
    };
    const waitMs = Math.max(deadline.remainingMs(), SETTLE_ERROR_WAIT_MS);
    const stored = call.call.repeatable ? undefined : encodeAnswer(answer);
    const result = await this.settle('answered', waitMs, bill, stored);
    if (!result) return fail(billUnconfirmedError);
    record.bill = bill;
    return succeed(answer);
  }

  private async settleFailed(
    failure: AttemptError,
    sent: boolean,
  ): Promise<RequestError> {
    const error = describeUnanswered({
      sent,
      reason: failure.message,
      deadlinePassed: this.deadline.hasPassed(),
      repeatable: this.call.call.repeatable,
    });
    await this.settle(error.outcome, SETTLE_ERROR_WAIT_MS);
    return error;
  }

  private settle(
    status: SettleCommand['status'],
    waitMs: number,
    bill?: Bill,
    answer?: StoredAnswer,
  ) {
    const command = {...this.createSettlement(status), bill, answer};
    return this.context.settler.settle(command, waitMs);
  }

  private createSettlement(status: SettleCommand['status']): SettleCommand {
    const {call, context} = this;
    return {
      type: 'settle',
      requestId: call.requestId,
      customer: call.customer.name,
      key: call.key,
      status,
      atMs: context.clock.now(),
    };
  }

  private getElapsedMs(): number {
    return this.context.clock.monotonic() - this.startedAt;
  }
}

/** Encodes an answer as text for the ledger; binary bodies become base64. */
function encodeAnswer({
  status,
  contentType,
  body,
}: ServiceAnswer): StoredAnswer {
  return isUtf8(body)
    ? {status, contentType, body: body.toString('utf8')}
    : {status, contentType, body: body.toString('base64'), encoding: 'base64'};
}

function decodeAnswer(stored: StoredAnswer): ServiceAnswer {
  const {status, contentType, body, encoding = 'utf8'} = stored;
  return {status, contentType, body: Buffer.from(body, encoding)};
}
