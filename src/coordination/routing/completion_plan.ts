/** The plan of one completion: which versions to ask, and in which order. */
import type {ControlView} from '../../protocol/control.ts';
import type {Customer, Version} from '../../protocol/declaration.ts';
import type {QualityEstimate} from '../quality/quality_estimate.ts';

/** Why a version was not chosen. */
export interface RejectedVersion {
  readonly version: string;
  readonly reason: string;
}

/** One version to ask. */
export interface PlanStep {
  readonly version: Version;
  /**
   * `direct`: the answer is released as it streams.
   * `rated`: the answer is held until it is rated, and released whole when
   * its score reaches `minimumScore`; otherwise the next step runs.
   */
  readonly release: 'direct' | 'rated';
  /** The lowest score that releases a rated answer, from 0 to 1. */
  readonly minimumScore: number;
  /**
   * What an answer without a rating in time leads to: `release` it, or go on
   * with the `next` step. The candidate of a gated roll-out goes on.
   */
  readonly whenUnrated: 'release' | 'next';
}

/** What to do for one request, with the reasons. */
export interface CompletionPlan {
  /** In order; the last is always `direct`. Empty when none may run. */
  readonly steps: readonly PlanStep[];
  /** Versions to try when no endpoint of a step takes work, best first. */
  readonly fallbacks: readonly Version[];
  /** A version to run beside the steps, neither shown nor billed. */
  readonly shadow?: Version;
  /** In micro-units of currency, with the expected escalations. */
  readonly expectedCost: number;
  /** Until the caller's first token. */
  readonly expectedFirstTokenMs: number;
  /** The expected mean quality, a lower bound, from 0 to 1. */
  readonly expectedQuality: number;
  /** Sentences without a full stop, for the log line and `explain`. */
  readonly reasons: readonly string[];
  readonly rejected: readonly RejectedVersion[];
}

/** The speed of a version as this gateway sees it now. */
export interface SpeedEstimate {
  /** Includes the wait in the endpoint's queue. */
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
}

/** The state of the rating service as this gateway sees it. */
export interface RatingState {
  readonly available: boolean;
  /** The usual time of one rating. */
  readonly delayMs: number;
}

export interface PlanCompletionOptions {
  readonly view: ControlView;
  readonly customer: Customer;
  /** The requested model, or `model/version`. */
  readonly model: string;
  /** The request class; `default` where the caller names none. */
  readonly requestClass?: string;
  /** The request id, or the session where there is one. */
  readonly routingKey: string;
  /** True for a request of a session, which stays on one version. */
  readonly sticky?: boolean;
  /** The version that the session is pinned to. */
  readonly pinned?: string;
  /** Versions that an endpoint can serve now. */
  readonly served: ReadonlySet<string>;
  readonly streamed: boolean;
  /** Time left for the whole request. */
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

/** Plans a completion. */
export type PlanCompletion = (options: PlanCompletionOptions) => CompletionPlan;
