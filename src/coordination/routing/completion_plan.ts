/** The plan of one completion: the versions to call, in order. */
import type {ControlView} from '../../protocol/control.ts';
import type {Customer, Version} from '../../protocol/declaration.ts';
import type {QualityEstimate} from '../quality/quality_estimate.ts';

/** A version that was not selected, and the reason. */
export interface RejectedVersion {
  readonly version: string;
  readonly reason: string;
}

/** One version to call. */
export interface PlanStep {
  readonly version: Version;
  /**
   * `direct`: the answer is delivered as it streams.
   * `rated`: the answer is held until it is rated. It is delivered as a whole
   * if its score reaches `minimumScore`; otherwise the next step runs.
   */
  readonly release: 'direct' | 'rated';
  /** The escalation threshold of a rated answer, from 0 to 1. */
  readonly minimumScore: number;
  /**
   * What happens to an answer that is not rated in time: `release` delivers
   * it, `next` runs the next step, as for the candidate of a gated roll-out.
   */
  readonly whenUnrated: 'release' | 'next';
}

/** The plan of one request, with its reasons. */
export interface CompletionPlan {
  /** In order; the last is always `direct`. Empty if no version may run. */
  readonly steps: readonly PlanStep[];
  /** Versions to try if no endpoint accepts a step, most preferred first. */
  readonly fallbacks: readonly Version[];
  /** A version to run in parallel, whose answer is not delivered or billed. */
  readonly shadow?: Version;
  /** In micro-units of currency, including expected escalations. */
  readonly expectedCost: number;
  /** Until the caller receives the first token. */
  readonly expectedFirstTokenMs: number;
  /** The expected mean quality, a lower bound, from 0 to 1. */
  readonly expectedQuality: number;
  /** Sentences without a full stop, for the log line and `explain`. */
  readonly reasons: readonly string[];
  readonly rejected: readonly RejectedVersion[];
}

/** This gateway's current estimate of a version's speed. */
export interface SpeedEstimate {
  /** Includes the time in the endpoint's queue. */
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
}

/** The state of the rating service as observed by this gateway. */
export interface RatingState {
  readonly available: boolean;
  /** The average time of one rating. */
  readonly delayMs: number;
}

export interface PlanCompletionOptions {
  readonly view: ControlView;
  readonly customer: Customer;
  /** The requested model, or `model/version`. */
  readonly model: string;
  /** The request class; `default` if the caller names none. */
  readonly requestClass?: string;
  /** The session identifier if there is one, otherwise the request id. */
  readonly routingKey: string;
  /** True for a request of a session, which stays on one version. */
  readonly sticky?: boolean;
  /** The version that the session is pinned to. */
  readonly pinned?: string;
  /** Versions that an endpoint can serve now. */
  readonly served: ReadonlySet<string>;
  readonly streamed: boolean;
  /** Time left for the request as a whole. */
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Expected tokens of the answer. */
  readonly completionTokens: number;
  readonly estimateQuality: (
    version: Version,
    requestClass: string,
  ) => QualityEstimate;
  readonly estimateSpeed: (version: Version) => SpeedEstimate;
  readonly rating: RatingState;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export type PlanCompletion = (options: PlanCompletionOptions) => CompletionPlan;
