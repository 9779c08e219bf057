/** Decisions for tests: the cheapest version, the least busy endpoint. */
import type {Clock} from '../../protocol/clock.ts';
import {succeed} from '../../protocol/outcome.ts';
import type {Limiter} from '../limits/permit.ts';
import {createRetryBudget} from '../limits/retry_budget.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import type {EndpointRouter} from '../routing/endpoint_router.ts';
import {createDirectStep} from '../routing/plan_cascade.ts';
import {selectEndpoint} from '../routing/select_endpoint.ts';
import {findTarget, listEligible} from '../routing/eligible_versions.ts';
import type {Decisions} from './request_context.ts';

export interface BasicDecisionsOptions {
  readonly region: string;
  readonly dataCentre: string;
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly random: () => number;
  readonly listEndpoints: () => readonly Endpoint[];
}

/** Creates decisions that neither adapt nor limit. */
export function createBasicDecisions(
  options: BasicDecisionsOptions,
): Decisions {
  return {
    plan: request => {
      const served = options
        .listEndpoints()
        .filter(endpoint => !endpoint.leaving)
        .flatMap(endpoint => endpoint.versions);
      const {versions, rejected} = listEligible({
        ...request,
        served: new Set(served),
      });
      const target = findTarget(request.customer, request.requestClass);
      const candidates = versions
        .filter(each => each.expected_quality >= (target?.quality ?? 0))
        .sort((a, b) => a.completion_price - b.completion_price);
      const [first, ...fallbacks] = candidates;
      return {
        steps: first ? [createDirectStep(first)] : [],
        fallbacks,
        expectedCost: 0,
        expectedFirstTokenMs: 0,
        expectedQuality: 0,
        reasons: ['cheapest version at the target'],
        rejected,
      };
    },
    router: createBasicRouter(options),
    limiter: unlimited,
    retryBudget: createRetryBudget(),
    hedgeBudget: createRetryBudget({ratio: 0.02, capacity: 2}),
  };
}

function createBasicRouter(options: BasicDecisionsOptions): EndpointRouter {
  return {
    select(route) {
      const endpoints = options.listEndpoints();
      const endpoint = selectEndpoint(endpoints, {...options, ...route});
      if (!endpoint) return null;
      return {endpoint, reason: 'least busy endpoint', rejected: []};
    },
    begin(endpoint) {
      endpoint.inFlight++;
      return {
        recordFirstToken: () => {},
        recordSilence: () => {},
        recordEnd: () => {},
        [Symbol.dispose]: () => {
          endpoint.inFlight--;
        },
      };
    },
  };
}

const unlimited: Limiter = {
  acquire: async () =>
    succeed({
      queuedMs: 0,
      recordFirstToken: () => {},
      [Symbol.dispose]: () => {},
    }),
};
