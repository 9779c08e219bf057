/** The interface of admission to a pool: a permit or a refusal. */
import type {Outcome} from '../../protocol/outcome.ts';

/** A slot of a pool. Disposing it releases the slot; again has no effect. */
export interface Permit extends Disposable {
  /** The time spent in the queue. */
  readonly queuedMs: number;
  /** Records the time from the permit to the first token or byte. */
  recordFirstToken(ms: number): void;
}

/** Why a request was not admitted. Nothing of it ran. */
export interface Refusal {
  readonly reason:
    | 'queue-full'
    | 'deadline'
    | 'customer-limit'
    | 'pool-unavailable'
    | 'cancelled';
  /** A human-readable sentence, without a full stop. */
  readonly message: string;
  /** The recommended delay before a retry. */
  readonly retryAfterMs: number;
}

export interface AcquireOptions {
  readonly customer: string;
  /** The share of contended capacity relative to other customers; default 1. */
  readonly weight?: number;
  /** The maximum of the customer's running requests; default unlimited. */
  readonly concurrency?: number;
  /** The bulkhead: a pool, or a pool and service. */
  readonly pool: string;
  /** The time left until the request needs its first token. */
  readonly deadlineMs: number;
  /** Orders a customer's own requests, highest first; default 0. */
  readonly priority?: number;
  /** The expected work relative to an average request; default 1. */
  readonly cost?: number;
  readonly signal?: AbortSignal;
}

/** Admits requests to pools. */
export interface Limiter {
  acquire(options: AcquireOptions): Promise<Outcome<Permit, Refusal>>;
}

export interface PoolCapacity {
  /** The maximum of requests that this gateway may run at once. */
  readonly slots: number;
  /** The maximum of queued requests. */
  readonly queue: number;
}
