/** What every request at a gateway shares. */
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

/** What a plan is made for. */
export interface PlanRequest {
  readonly view: ControlView;
  readonly customer: Customer;
  readonly model: string;
  readonly requestClass?: string;
  /** The request id, or the session where there is one. */
  readonly routingKey: string;
  /** True for a request of a session, which stays on one version. */
  readonly sticky?: boolean;
  /** The version that the session is pinned to. */
  readonly pinned?: string;
  readonly streamed: boolean;
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** The decisions that requests ask for. */
export interface Decisions {
  plan(request: PlanRequest): CompletionPlan;
  readonly router: EndpointRouter;
  readonly limiter: Limiter;
  /** Extra attempts after a failure. */
  readonly retryBudget: RetryBudget;
  /** Extra attempts beside one that is slow. */
  readonly hedgeBudget: RetryBudget;
}

/** An answer to rate. */
export interface RatingRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly requestClass: string;
  readonly version: string;
  readonly prompt: unknown;
  readonly answer: string;
  /** How long the caller waits for the score. */
  readonly deadlineMs: number;
}

/** Rates an answer from 0 to 1, or says why there is no rating. */
export type RateAnswer = (
  request: RatingRequest,
) => Promise<Outcome<number, string>>;

/** The parts of a gateway that requests use. */
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
  /** The configuration in force, `null` when the lease has run out. */
  readonly getView: () => ControlView | null;
  readonly listEndpoints: () => Endpoint[];
}

/** How long a completion may take in all when the caller does not say. */
export const DEFAULT_DEADLINE_MS = 120_000;

/** How long a call of a service may take when the caller does not say. */
export const DEFAULT_CALL_DEADLINE_MS = 15_000;

/** How long a stream may stay silent before its connection is given up. */
export const TOKEN_GAP_MS = 2_000;

/** The most attempts for one request and version. */
export const MAX_ATTEMPTS = 4;

/** How long an error waits for the ledger to note its outcome. */
export const SETTLE_ERROR_WAIT_MS = 200;
