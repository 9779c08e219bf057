/** The routing policies that the benchmark compares. */
import type {Endpoint} from '../../src/coordination/membership/endpoint_table.ts';
import type {
  EndpointChoice,
  EndpointRouter,
  RouteOptions,
} from '../../src/coordination/routing/endpoint_router.ts';
import {canServe} from '../../src/coordination/routing/select_endpoint.ts';

/** How a policy chooses the version and the endpoint. */
export interface Policy {
  readonly name: string;
  /** `planned` uses the router's own planner. */
  readonly version: 'planned' | 'cheapest' | 'best';
  readonly endpoint: 'routed' | 'random' | 'round-robin' | 'least-reported';
}

export const POLICIES: readonly Policy[] = [
  {name: 'parsleypond', version: 'planned', endpoint: 'routed'},
  {name: 'random', version: 'planned', endpoint: 'random'},
  {name: 'round robin', version: 'planned', endpoint: 'round-robin'},
  {name: 'least reported', version: 'planned', endpoint: 'least-reported'},
  {name: 'always cheapest', version: 'cheapest', endpoint: 'routed'},
  {name: 'always best', version: 'best', endpoint: 'routed'},
];

interface EndpointSelectorOptions {
  readonly policy: Policy;
  readonly router: EndpointRouter;
  readonly endpoints: readonly Endpoint[];
  readonly random: () => number;
}

/** Creates the function that selects endpoints for one gateway. */
export function createEndpointSelector(
  options: EndpointSelectorOptions,
): (route: RouteOptions) => EndpointChoice | null {
  const {policy, router, endpoints, random} = options;
  if (policy.endpoint === 'routed') return route => router.select(route);
  let nextIndex = 0;
  return route => {
    const eligible = endpoints.filter(each => canServe(each, route));
    if (eligible.length === 0) return null;
    const endpoint =
      policy.endpoint === 'random'
        ? eligible[Math.floor(random() * eligible.length)]
        : policy.endpoint === 'round-robin'
          ? eligible[nextIndex++ % eligible.length]
          : findLeastReported(eligible, random);
    return endpoint ? {endpoint, reason: policy.name, rejected: []} : null;
  };
}

function findLeastReported(
  endpoints: readonly Endpoint[],
  random: () => number,
): Endpoint | undefined {
  const loads = endpoints.map(({load}) =>
    load ? load.running + load.waiting : 0,
  );
  const least = Math.min(...loads);
  const equal = endpoints.filter((_, index) => loads[index] === least);
  return equal[Math.floor(random() * equal.length)];
}
