/**
 * Obtains one answer from one version, with retries.
 *
 * Different answers are never joined. A later attempt either resumes the answer
 * at the offset where the earlier one ended, or starts over; the text of a
 * rerun must then begin with the text already relayed, or the answer is
 * aborted.
 */
import type {
  AnswerEvent,
  CompletionRequest,
} from '../../protocol/completion.ts';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {Permit} from '../limits/permit.ts';
import type {
  EndpointChoice,
  RouteOptions,
  RoutedAttempt,
} from '../routing/endpoint_router.ts';
import {AttemptSequence} from './attempt_sequence.ts';
import type {Deadline} from './deadline.ts';
import type {AttemptError} from './dispatch.ts';
import type {RequestContext} from './request_context.ts';
import type {AttemptRecord, RequestRecord} from './request_history.ts';
import {SilentAttempt} from './silent_attempt.ts';

export interface AnswerRunOptions {
  readonly context: RequestContext;
  readonly record: RequestRecord;
  readonly customer: string;
  readonly request: CompletionRequest;
  readonly version: Version;
  readonly deadline: Deadline;
  readonly permit: Permit;
  /** The properties of the request that the choice of an endpoint uses. */
  readonly route: RouteOptions;
  /** Whether chunks are relayed to the caller as they arrive. */
  readonly relayed: boolean;
  /** The customer's target for the time to first token. */
  readonly expectedFirstTokenMs?: number;
  /** Endpoints that are not asked. */
  readonly avoided?: Iterable<string>;
  /**
   * Reserves another version to run instead, at other endpoints than `silent`;
   * by default there is none.
   */
  readonly reserveFallback?: (silent: string) => Outcome<string, string>;
  /** Returns the time since the start of the request. */
  readonly getElapsedMs: () => number;
}

/** Why no complete answer was received. */
export interface AnswerFailure {
  readonly message: string;
  /** Whether an endpoint may have run any attempt. */
  readonly sent: boolean;
}

type RunEvent = Outcome<AnswerEvent, AnswerFailure>;

/** Runs the attempts for one answer. */
export class AnswerRun {
  private text = '';
  private nextOffset = 0;
  private sent = false;
  private lastEndpoint = '';
  private left = false;

  constructor(private readonly options: AnswerRunOptions) {}

  /** The endpoint of the latest attempt. */
  get endpoint(): string {
    return this.lastEndpoint;
  }

  /** The silent endpoint that was left for another version, if any. */
  get leftEndpoint(): string | null {
    return this.left ? this.lastEndpoint : null;
  }

  /** The text received so far. */
  get answer(): string {
    return this.text;
  }

  /** The number of chunks received so far. */
  get chunkCount(): number {
    return this.nextOffset;
  }

  /** Yields the answer's events; a failure is always the last one. */
  async *stream(signal: AbortSignal): AsyncGenerator<RunEvent, void> {
    let message = '';
    const sequence = new AttemptSequence({
      ...this.options,
      signal,
      hasStarted: () => this.nextOffset > 0,
    });
    for (;;) {
      const next = sequence.choose();
      if (!next.ok) {
        const isKnown = message === '' || message === next.error;
        message = isKnown ? next.error : `${message}; ${next.error}`;
        break;
      }
      const choice = next.value;
      if (!choice) {
        message ||= 'no endpoint takes work';
        break;
      }
      this.lastEndpoint = choice.endpoint.name;
      const end = yield* this.runAttempt({choice, sequence, signal});
      if (end === null) return;
      message = end.message;
      if (end.kind === 'lost') this.sent = true;
      this.left = sequence.isLeft;
      if (end.fatal) break;
      sequence.recordError(choice, end);
    }
    yield fail({message, sent: this.sent});
  }

  /** Runs one attempt; returns `null` if the answer is complete. */
  private async *runAttempt({
    choice,
    sequence,
    signal,
  }: AttemptOptions): AsyncGenerator<
    RunEvent,
    (AttemptError & {readonly fatal?: boolean}) | null
  > {
    const {context, record, deadline, permit, route, relayed} = this.options;
    const resumes = choice.endpoint.resumes && this.nextOffset > 0;
    if (!resumes && !relayed) this.reset();
    const expectedPrefix = resumes ? '' : this.text;
    const attempt = this.beginRecord(choice, resumes ? this.nextOffset : 0);
    record.attempts.push(attempt);
    using routed = context.decisions.router.begin(choice.endpoint, route);
    const startedAt = context.clock.monotonic();
    const silent = new SilentAttempt({
      context,
      requestId: record.requestId,
      kind: 'completion',
      target: formatVersion(this.options.version),
      endpoint: attempt.endpoint,
      routed,
      reserveNext: stall => sequence.reserve(choice, stall),
    });
    const run = {attempt, routed, silent, startedAt, signal};
    let rerunText = '';
    const events = context.dispatcher.openCompletion(
      {
        address: choice.endpoint.address,
        attemptId: attempt.attemptId,
        requestId: record.requestId,
        customer: this.options.customer,
        version: formatVersion(this.options.version),
        request: this.options.request,
        resumeOffset: attempt.resumeOffset,
        resumeText: resumes ? this.text : '',
        deadlineMs: deadline.remainingMs(),
        priority: 0,
        repeatable: true,
        decideStall: silent.decide,
      },
      signal,
    );
    for await (const event of events) {
      if (!event.ok) {
        this.finish(run, event.error.message);
        return event.error;
      }
      this.sent = true;
      silent.recordEvent();
      const {value} = event;
      if (value.type === 'end') {
        if (rerunText.length < expectedPrefix.length) {
          return this.abortMismatch(run);
        }
        this.finish(run, 'answered');
        yield event;
        return null;
      }
      if (attempt.chunks++ === 0) {
        const waitedMs = context.clock.monotonic() - startedAt;
        attempt.firstTokenMs = this.options.getElapsedMs();
        routed.recordFirstToken(waitedMs);
        permit.recordFirstToken(waitedMs);
      }
      let text = value.text;
      if (rerunText.length < expectedPrefix.length) {
        rerunText += text;
        const common = Math.min(rerunText.length, expectedPrefix.length);
        if (!expectedPrefix.startsWith(rerunText.slice(0, common))) {
          return this.abortMismatch(run);
        }
        text = rerunText.slice(expectedPrefix.length);
        if (text === '') continue;
      }
      this.text += text;
      const offset = this.nextOffset++;
      yield succeed({type: 'delta', offset, text});
    }
    this.finish(run, 'the stream ended');
    return {kind: 'lost', message: 'the stream ended'};
  }

  private reset(): void {
    this.text = '';
    this.nextOffset = 0;
  }

  private beginRecord(
    choice: EndpointChoice,
    resumeOffset: number,
  ): AttemptRecord {
    const {context, record, customer, version} = this.options;
    const name = formatVersion(version);
    context.logger.info('Routes a request.', {
      request: record.requestId,
      customer,
      version: name,
      endpoint: choice.endpoint.name,
      attempt: record.attempts.length + 1,
      reason: [...record.reasons, choice.reason].join('; '),
      rejected: record.rejected
        .map(each => `${each.version}: ${each.reason}`)
        .concat(choice.rejected.map(each => `${each.endpoint}: ${each.reason}`))
        .join(', '),
    });
    return {
      attemptId: createIdentifier('att'),
      version: name,
      endpoint: choice.endpoint.name,
      reason: choice.reason,
      rejected: choice.rejected,
      remote: choice.endpoint.region !== context.region,
      startedMs: this.options.getElapsedMs(),
      resumeOffset,
      chunks: 0,
    };
  }

  private abortMismatch(
    end: AttemptEnd,
  ): AttemptError & {readonly fatal: boolean} {
    const message = 'a second run gave another answer';
    this.finish(end, message);
    return {kind: 'lost', message, fatal: true};
  }

  private measureRemoteBytes({remote}: AttemptRecord): number {
    if (!remote) return 0;
    return (this.options.route.bytes ?? 0) + Buffer.byteLength(this.text);
  }

  /** Records the end of an attempt. */
  private finish(end: AttemptEnd, result: string): void {
    const {context, record, customer, version} = this.options;
    const {attempt, routed, silent, startedAt, signal} = end;
    const answered = result === 'answered';
    attempt.result = result;
    attempt.endedMs = this.options.getElapsedMs();
    const outcome = answered
      ? 'answered'
      : signal.aborted
        ? 'cancelled'
        : 'failed';
    const tokenGapMs = measureTokenGap(attempt);
    routed.recordEnd(outcome, tokenGapMs);
    context.observer.observeAttempt({
      kind: 'completion',
      requestId: record.requestId,
      customer,
      target: formatVersion(version),
      endpoint: attempt.endpoint,
      result: outcome,
      firstTokenMs:
        attempt.firstTokenMs === undefined
          ? undefined
          : attempt.firstTokenMs - attempt.startedMs,
      expectedFirstTokenMs: this.options.expectedFirstTokenMs,
      tokenGapMs,
      durationMs: context.clock.monotonic() - startedAt,
      remoteBytes: this.measureRemoteBytes(attempt),
    });
    if (answered) return;
    silent.recordEnd(result);
    context.logger.warn('Ends an attempt without a complete answer.', {
      request: record.requestId,
      endpoint: attempt.endpoint,
      reason: result,
      ms: Math.round(context.clock.monotonic() - startedAt),
    });
  }
}

interface AttemptOptions {
  readonly choice: EndpointChoice;
  readonly sequence: AttemptSequence;
  readonly signal: AbortSignal;
}

interface AttemptEnd {
  readonly attempt: AttemptRecord;
  readonly routed: RoutedAttempt;
  readonly silent: SilentAttempt;
  readonly startedAt: number;
  readonly signal: AbortSignal;
}

function measureTokenGap(attempt: AttemptRecord): number | undefined {
  const {firstTokenMs, endedMs, chunks} = attempt;
  if (firstTokenMs === undefined || endedMs === undefined || chunks < 2) {
    return undefined;
  }
  return (endedMs - firstTokenMs) / (chunks - 1);
}
