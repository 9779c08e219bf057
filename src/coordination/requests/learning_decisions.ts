/** Decisions that adapt to ratings, endpoint reports and past attempts. */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';
import {createLimiter} from '../limits/create_limiter.ts';
import {measureCapacity} from '../limits/measure_capacity.ts';
import {createRetryBudget} from '../limits/retry_budget.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import type {QualityTable} from '../quality/quality_table.ts';
import type {RatingMonitor} from '../quality/rating_monitor.ts';
import {formatClassBucket} from '../quality/class_bucket.ts';
import {createEndpointRouter} from '../routing/create_endpoint_router.ts';
import {planCompletion} from '../routing/plan_completion.ts';
import type {Decisions} from './request_context.ts';

export interface LearningDecisionsOptions {
  readonly gateway: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly listEndpoints: () => readonly Endpoint[];
  readonly getView: () => ControlView | null;
  /** Counts the gateways that accept requests, including this one. */
  readonly countGateways: () => number;
  readonly quality: QualityTable;
  readonly rating: RatingMonitor;
}

/** Hedged attempts per first attempt. */
const HEDGE_RATIO = 0.02;

export function createLearningDecisions(
  options: LearningDecisionsOptions,
): Decisions {
  const {quality, rating, random, clock, getView} = options;
  const router = createEndpointRouter(options);
  return {
    router,
    limiter: createLimiter({
      clock,
      random,
      getCapacity: pool => {
        const declared = getView()?.declaration?.pools.find(
          each => each.name === pool,
        );
        return measureCapacity(router.measurePool(pool), {
          pool: declared,
          gateways: options.countGateways(),
        });
      },
    }),
    retryBudget: createRetryBudget(),
    hedgeBudget: createRetryBudget({ratio: HEDGE_RATIO, capacity: 2}),
    plan: request =>
      planCompletion({
        ...request,
        served: router.listServed(),
        estimateQuality: (version, requestClass) =>
          quality.estimate(
            version,
            formatClassBucket(requestClass, request.promptTokens),
          ),
        estimateSpeed: version =>
          router.estimateSpeed(version.pool, formatVersion(version)),
        rating: rating.state,
        random,
      }),
  };
}
