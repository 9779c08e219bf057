/** The interface between the request path and endpoint selection. */
import type {Endpoint} from '../membership/endpoint_table.ts';

export interface RouteOptions {
  readonly pool: string;
  /** The version as `model/version`; absent for a plain service. */
  readonly version?: string;
  /** Endpoints that failed this request before. */
  readonly avoided?: ReadonlySet<string>;
  /** The prompt's text from its start, to match prompt prefix caches. */
  readonly prompt?: string;
  /** Expected bytes of request and answer, for the transfer penalty. */
  readonly bytes?: number;
}

/** An endpoint that was scored and not selected. */
export interface RejectedEndpoint {
  readonly endpoint: string;
  readonly reason: string;
}

/** The selected endpoint, with the reasons. */
export interface EndpointChoice {
  readonly endpoint: Endpoint;
  readonly reason: string;
  readonly rejected: readonly RejectedEndpoint[];
}

/** How an attempt ended, for ejection. */
export type AttemptResult = 'answered' | 'failed' | 'cancelled';

/** An attempt at an endpoint; in flight until disposed. */
export interface RoutedAttempt extends Disposable {
  /** Records the time from dispatch to the first token or byte. */
  recordFirstToken(ms: number): void;
  /** Records that the endpoint is silent; counts as one failure, at once. */
  recordSilence(): void;
  /** Records the result and the mean time between tokens. */
  recordEnd(result: AttemptResult, tokenGapMs?: number): void;
}

/** Selects endpoints and measures the attempts at them. */
export interface EndpointRouter {
  /** Returns `null` if no endpoint of the pool accepts the request. */
  select(options: RouteOptions): EndpointChoice | null;
  /** Counts an attempt as in flight from its dispatch. */
  begin(endpoint: Endpoint, options: RouteOptions): RoutedAttempt;
}
