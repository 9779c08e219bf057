/** The dependencies that all requests at a gateway share. */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import type {Customer} from '../../protocol/declaration.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {Limiter} from '../limits/permit.ts';
import type {RetryBudget} from '../limits/retry_budget.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import type {CompletionPlan} from '../routing/completion_plan.ts';
import type {EndpointRouter} from '../routing/endpoint_router.ts';
import type {Dispatcher} from './dispatch.ts';
import type {LedgerClient} from './ledger_client.ts';
import type {RequestHistory} from './request_history.ts';
import type {RequestObserver} from './request_observer.ts';
import type {Settler} from './settler.ts';

/** The properties of a request that its plan depends on. */
export interface PlanRequest {
  readonly view: ControlView;
  readonly customer: Customer;
  readonly model: string;
  readonly requestClass?: string;
  /** The request id, or the session where there is one. */
  readonly routingKey: string;
  /** Whether the request belongs to a session, which stays on one version. */
  readonly sticky?: boolean;
  /** The version that the session is pinned to. */
  readonly pinned?: string;
  readonly streamed: boolean;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** The policies that decide how requests run. */
export interface Decisions {
  plan(request: PlanRequest): CompletionPlan;
  readonly router: EndpointRouter;
  readonly limiter: Limiter;
  /** Limits the attempts after a failure. */
  readonly retryBudget: RetryBudget;
  /** Limits the attempts in parallel with a slow one. */
  readonly hedgeBudget: RetryBudget;
}

export interface RatingRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly requestClass: string;
  readonly version: string;
  readonly prompt: unknown;
  readonly answer: string;
  /** The time left for the rating. */
  readonly deadlineMs: number;
}

/** Rates an answer from 0 to 1, or returns why there is no rating. */
export type RateAnswer = (
  request: RatingRequest,
) => Promise<Outcome<number, string>>;

export interface RequestContext {
  readonly gateway: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly logger: Logger;
  readonly dispatcher: Dispatcher;
  readonly ledger: LedgerClient;
  readonly settler: Settler;
  readonly history: RequestHistory;
  readonly decisions: Decisions;
  readonly rate: RateAnswer;
  readonly observer: RequestObserver;
  /** Returns the configuration in force, `null` if the lease has expired. */
  readonly getView: () => ControlView | null;
  readonly listEndpoints: () => Endpoint[];
}

/** The total time limit of a completion whose caller sets no deadline. */
export const DEFAULT_DEADLINE_MS = 120_000;

/** The total time limit of a service call whose caller sets no deadline. */
export const DEFAULT_CALL_DEADLINE_MS = 15_000;

/** The idle time between tokens after which a connection is abandoned. */
export const TOKEN_GAP_TIMEOUT_MS = 2_000;

/** The maximum of attempts for one request and version. */
export const MAX_ATTEMPTS = 4;

/** How long an error waits for its settlement; the minimum wait for a bill. */
export const SETTLE_ERROR_WAIT_MS = 200;
