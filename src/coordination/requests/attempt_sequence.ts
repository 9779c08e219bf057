/**
 * Chooses the endpoints of one request's attempts, in turn.
 *
 * What follows a silent attempt is reserved before that is left: all
 * preconditions are checked, the endpoint is chosen and the retry budget is
 * taken in one step, so that none of them can fail afterwards.
 */
import type {Version} from '../../protocol/declaration.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import {isWithdrawn} from '../routing/eligible_versions.ts';
import type {EndpointChoice, RouteOptions} from '../routing/endpoint_router.ts';
import type {Deadline} from './deadline.ts';
import type {AttemptError, Stall} from './dispatch.ts';
import {MAX_ATTEMPTS, type RequestContext} from './request_context.ts';

export interface AttemptSequenceOptions {
  readonly context: Pick<RequestContext, 'decisions' | 'getView'>;
  readonly route: RouteOptions;
  readonly deadline: Deadline;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
  /** The version to run; absent for a plain service. */
  readonly version?: Version;
  /** Whether a part of the answer was received; by default none is. */
  readonly hasStarted?: () => boolean;
  /** Endpoints that are not asked. */
  readonly avoided?: Iterable<string>;
  /**
   * Reserves another version to run instead, at other endpoints than `silent`;
   * by default there is none.
   */
  readonly reserveFallback?: (silent: string) => Outcome<string, string>;
}

/** The attempts of one request at the endpoints of one version or service. */
export class AttemptSequence {
  private readonly avoided: Set<string>;
  /** Endpoints that were already asked to resume on a new connection. */
  private readonly resumed = new Set<string>();
  /** What follows a silent attempt; its preconditions held when it was left. */
  private reserved: EndpointChoice | 'fallback' | null = null;
  private lastError: AttemptError | null = null;
  private count = 0;

  constructor(private readonly options: AttemptSequenceOptions) {
    this.avoided = new Set(options.avoided);
  }

  /** Whether a silent attempt was left for another version. */
  get isLeft(): boolean {
    return this.reserved === 'fallback';
  }

  /**
   * Chooses the endpoint of the next attempt; `null` if none takes work. Fails
   * with the reason if no further attempt may be made.
   */
  choose(): Outcome<EndpointChoice | null, string> {
    const {reserved} = this;
    if (reserved === 'fallback') return fail('another version runs');
    this.reserved = null;
    const isFirst = this.count++ === 0;
    if (reserved) return succeed(reserved);
    if (this.count > MAX_ATTEMPTS) return fail('the attempts are used up');
    const stopReason = this.findStopReason();
    if (stopReason !== null) return fail(stopReason);
    const {retryBudget} = this.options.context.decisions;
    if (isFirst) retryBudget.deposit();
    else if (!this.tryTakeRetry(this.lastError?.kind !== 'not-sent')) {
      return fail('the retry budget is spent');
    }
    return succeed(this.selectEndpoint());
  }

  /**
   * Reserves what follows the silent attempt at `choice`. Returns its name, or
   * why nothing may follow yet.
   */
  reserve(choice: EndpointChoice, stall: Stall): Outcome<string, string> {
    const next = this.reserveEndpoint(choice, stall);
    if (next.ok) {
      this.reserved = next.value;
      return succeed(next.value.endpoint.name);
    }
    const fallback = this.options.reserveFallback?.(choice.endpoint.name);
    if (!fallback?.ok || !this.tryTakeRetry(stall.sent)) return next;
    this.reserved = 'fallback';
    return fallback;
  }

  /** Records that the attempt at `choice` gave no complete answer. */
  recordError({endpoint}: EndpointChoice, error: AttemptError): void {
    this.lastError = error;
    const {reserved} = this;
    const resumes =
      reserved !== 'fallback' && reserved?.endpoint.name === endpoint.name;
    (resumes ? this.resumed : this.avoided).add(endpoint.name);
  }

  private reserveEndpoint(
    choice: EndpointChoice,
    {sent}: Stall,
  ): Outcome<EndpointChoice, string> {
    if (this.count >= MAX_ATTEMPTS) return fail('the attempts are used up');
    const stopReason = this.findStopReason();
    if (stopReason !== null) return fail(stopReason);
    const next = this.canResumeAt(choice)
      ? {...choice, reason: 'resumes on a new connection'}
      : this.selectEndpoint(choice.endpoint.name);
    if (!next) return fail('no other endpoint takes work');
    // The budget goes last: it is taken only for an attempt that is made.
    if (!this.tryTakeRetry(sent)) return fail('the retry budget is spent');
    return succeed(next);
  }

  /**
   * Whether only the connection may be idle: the endpoint still holds the
   * answer so far, so it is asked once to resume on a new one.
   */
  private canResumeAt({endpoint}: EndpointChoice): boolean {
    const {name, resumes} = endpoint;
    return resumes && this.hasStarted() && !this.resumed.has(name);
  }

  /** Returns why no further attempt may be made, or `null`. */
  private findStopReason(): string | null {
    const {context, deadline, signal, version} = this.options;
    if (signal.aborted) return 'the caller left';
    if (deadline.hasPassed()) return 'the deadline passed';
    // The lease may have expired, or the version been withdrawn, meanwhile.
    const view = context.getView();
    if (!view) return 'this gateway lost its lease';
    if (version && isWithdrawn(view, version)) {
      return 'the version was withdrawn';
    }
    return null;
  }

  /** Takes what a further attempt costs; returns whether it may be made. */
  private tryTakeRetry(sent: boolean): boolean {
    // A partial answer is completed even if the retry budget is exhausted, and
    // an attempt that was never sent has put no load on an endpoint.
    if (this.hasStarted() || !sent) return true;
    return this.options.context.decisions.retryBudget.tryTake();
  }

  private selectEndpoint(silent?: string): EndpointChoice | null {
    const {context, route} = this.options;
    const avoided =
      silent === undefined ? this.avoided : new Set([...this.avoided, silent]);
    return context.decisions.router.select({...route, avoided});
  }

  private hasStarted(): boolean {
    return this.options.hasStarted?.() ?? false;
  }
}
