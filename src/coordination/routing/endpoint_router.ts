/** What the request path needs of the choice of endpoints. */
import type {Endpoint} from '../membership/endpoint_table.ts';

export interface RouteOptions {
  readonly pool: string;
  /** The version as `model/version`; absent for a plain service. */
  readonly version?: string;
  /** Endpoints that failed this request before. */
  readonly avoided?: ReadonlySet<string>;
  /** The text of the prompt from its beginning, for the prefix cache. */
  readonly prompt?: string;
  /** Expected bytes of request and answer, for the price of the slow link. */
  readonly bytes?: number;
}

/** An endpoint that was looked at and not taken. */
export interface RejectedEndpoint {
  readonly endpoint: string;
  readonly reason: string;
}

/** The endpoint to use, with the reasons. */
export interface EndpointChoice {
  readonly endpoint: Endpoint;
  readonly reason: string;
  readonly rejected: readonly RejectedEndpoint[];
}

/** How an attempt ended, for ejection. */
export type AttemptResult = 'answered' | 'failed' | 'cancelled';

/** An attempt at an endpoint; disposing it ends its count in flight. */
export interface RoutedAttempt extends Disposable {
  /** Notes the time from dispatch to the first token or byte. */
  recordFirstToken(ms: number): void;
  /** Notes the mean time between tokens, and the end. */
  recordEnd(result: AttemptResult, tokenGapMs?: number): void;
}

/** Chooses endpoints and learns from the attempts. */
export interface EndpointRouter {
  /** `null` when no endpoint of the pool takes this work. */
  select(options: RouteOptions): EndpointChoice | null;
  /** Counts an attempt in flight from its dispatch on. */
  begin(endpoint: Endpoint, options: RouteOptions): RoutedAttempt;
}
