/** Admits requests: finds their route, customer, service and deadline. */
import type {
  Route,
  RouteCustomer,
  RoutedService,
} from '../../protocol/route_table.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {RouteIndex} from '../gateway/route_index.ts';
import type {Call} from './call.ts';
import type {RefusalReason} from './refuse.ts';

/**
 * How long before the caller's deadline the answer must be sent, in ms. Covers
 * the round trip between caller and gateway.
 */
const ANSWER_MARGIN_MS = 40;

/** A request with the route and limits that apply to it. */
export interface AdmittedCall {
  readonly call: Call;
  readonly route: Route;
  readonly service: RoutedService;
  readonly customer: RouteCustomer | null;
  /** The name of the customer that owns the key, on public routes as well. */
  readonly caller: string | null;
  /** When it must be answered, on the monotonic clock. */
  readonly deadline: number;
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
}

/** Admits a request, or fails with the reason to refuse it. */
export function admitCall(
  call: Call,
  index: RouteIndex,
  random: () => number,
): Outcome<AdmittedCall, RefusalReason> {
  const route = index.findRoute(call.host, call.path);
  if (!route) return fail('no-route');
  const {key, budgetMs} = call.facts;
  const customer = key === null ? null : index.findCustomer(key);
  const needsKey = index.hasCustomers && !route.isPublic;
  if (needsKey && !customer) return fail('unknown-key');
  if (call.facts.attemptId === null) return fail('bad-request');
  const service = index.findService(chooseTarget(route, random));
  if (!service) return fail('no-endpoint');
  const limitMs = Math.min(route.timeoutMs, budgetMs ?? Infinity);
  return succeed({
    call,
    route,
    service,
    customer: needsKey ? customer : null,
    caller: customer?.name ?? null,
    deadline: call.receivedAt + limitMs - ANSWER_MARGIN_MS,
    isRepeatable:
      route.repeatability === 'idempotent' ||
      (route.repeatability === 'stream' && route.resumable),
  });
}

/** Draws a target service by the weights of the route. */
function chooseTarget({targets}: Route, random: () => number): string {
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = random() * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)?.service ?? '';
}
