/**
 * The permits of one completion, for the pool of the version that runs.
 *
 * The permit for another version's pool is reserved before a silent attempt is
 * left for it, so that the limiter cannot refuse the request in between.
 */
import type {RequestError} from '../../protocol/completion.ts';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {Permit, Refusal} from '../limits/permit.ts';
import {isWithdrawn} from '../routing/eligible_versions.ts';
import type {CompletionCall} from './admission.ts';
import type {Deadline} from './deadline.ts';
import type {RequestContext} from './request_context.ts';
import {describeRefusal} from './request_errors.ts';
import type {RequestRecord} from './request_history.ts';

export interface PoolPermitsOptions {
  readonly call: CompletionCall;
  readonly context: RequestContext;
  readonly deadline: Deadline;
  /** Receives the time spent in queues. */
  readonly record: RequestRecord;
}

/** A permit that is waited for, or held until its version runs. */
interface Reservation {
  readonly pool: string;
  readonly cancelled: AbortController;
  permit: Permit | null;
}

/** Holds one permit at a time, and may reserve a second one. */
export class PoolPermits implements Disposable {
  private held: {pool: string; permit: Permit} | null = null;
  private reservation: Reservation | null = null;

  constructor(private readonly options: PoolPermitsOptions) {}

  /** Acquires a permit for the version's pool, unless it is already held. */
  async acquire(
    {pool}: Version,
    signal: AbortSignal,
  ): Promise<Outcome<Permit, RequestError>> {
    if (this.held?.pool === pool) return succeed(this.held.permit);
    const reserved = this.takeReserved(pool);
    this.held?.permit[Symbol.dispose]();
    this.held = null;
    const permit = reserved
      ? succeed(reserved)
      : await this.requestPermit(pool, signal);
    if (!permit.ok) return fail(describeRefusal(permit.error));
    this.held = {pool, permit: permit.value};
    this.options.record.queuedMs += permit.value.queuedMs;
    return permit;
  }

  /**
   * Reserves what the version needs to run at another endpoint than `silent`.
   * Returns its name, or why it cannot run yet.
   */
  reserve(version: Version, silent: string): Outcome<string, string> {
    const {context} = this.options;
    const name = formatVersion(version);
    const view = context.getView();
    if (!view) return fail('this gateway lost its lease');
    if (isWithdrawn(view, version)) return fail(`${name} was withdrawn`);
    const {pool} = version;
    const route = {pool, version: name, avoided: new Set([silent])};
    if (!context.decisions.router.select(route)) {
      return fail(`no endpoint of ${name} takes work`);
    }
    if (this.held?.pool === pool) return succeed(name);
    if (this.reservation?.pool === pool && this.reservation.permit) {
      return succeed(name);
    }
    if (this.reservation?.pool !== pool) void this.startReservation(pool);
    return fail(`waits for a permit of ${pool}`);
  }

  /** Gives back a reserved permit that is not needed any more. */
  release(): void {
    const {reservation} = this;
    this.reservation = null;
    reservation?.permit?.[Symbol.dispose]();
    reservation?.cancelled.abort('released');
  }

  [Symbol.dispose](): void {
    this.release();
    this.held?.permit[Symbol.dispose]();
  }

  private takeReserved(pool: string): Permit | null {
    const {reservation} = this;
    const permit = reservation?.pool === pool ? reservation.permit : null;
    if (reservation && permit) reservation.permit = null;
    this.release();
    return permit;
  }

  private async startReservation(pool: string): Promise<void> {
    this.release();
    const cancelled = new AbortController();
    const reservation: Reservation = {pool, cancelled, permit: null};
    this.reservation = reservation;
    const permit = await this.requestPermit(pool, cancelled.signal);
    if (this.reservation === reservation) {
      if (permit.ok) reservation.permit = permit.value;
      // A later stall asks again.
      else this.reservation = null;
    } else if (permit.ok) {
      permit.value[Symbol.dispose]();
    }
  }

  private requestPermit(
    pool: string,
    signal: AbortSignal,
  ): Promise<Outcome<Permit, Refusal>> {
    const {call, context, deadline} = this.options;
    const {customer} = call;
    return context.decisions.limiter.acquire({
      customer: customer.name,
      weight: customer.weight,
      concurrency: customer.concurrency,
      pool,
      deadlineMs: deadline.remainingMs(),
      signal,
    });
  }
}
