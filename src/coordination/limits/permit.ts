/** Permission to run a request in a pool, or the refusal of it. */
import type {Outcome} from '../../protocol/outcome.ts';

/** A place in a pool. Disposing it gives the place back, once. */
export interface Permit extends Disposable {
  /** The time spent in the queue. */
  readonly queuedMs: number;
  /** Notes the time from the permit to the first token or byte. */
  recordFirstToken(ms: number): void;
}

/** Why a request was not let in. Nothing of it ran. */
export interface Refusal {
  readonly reason:
    | 'queue-full'
    | 'deadline'
    | 'customer-limit'
    | 'pool-unavailable'
    | 'cancelled';
  /** A sentence for people, without a full stop. */
  readonly message: string;
  /** When a retry has a fair chance. */
  readonly retryAfterMs: number;
}

export interface AcquireOptions {
  readonly customer: string;
  /** The share of contended capacity relative to other customers; 1. */
  readonly weight?: number;
  /** The most requests of the customer that run at once; no limit. */
  readonly concurrency?: number;
  /** The pool, or the pool and service: one bulkhead each. */
  readonly pool: string;
  /** The time that the request may still wait for its first token. */
  readonly deadlineMs: number;
  /** Orders a customer's own requests, the greatest first; 0. */
  readonly priority?: number;
  /** The expected work relative to a usual request; 1. */
  readonly cost?: number;
  readonly signal?: AbortSignal;
}

/** Lets requests into pools. */
export interface Limiter {
  acquire(options: AcquireOptions): Promise<Outcome<Permit, Refusal>>;
}

/** What a pool can take. */
export interface PoolCapacity {
  /** Requests that may run at once, as far as this gateway may use them. */
  readonly slots: number;
  /** The most requests that wait. */
  readonly queue: number;
}
