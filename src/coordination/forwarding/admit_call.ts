/** Admits requests: finds their route, customer, service and deadline. */
import type {
  Route,
  RouteCustomer,
  RoutedService,
} from '../../protocol/route_table.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
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

export interface AdmitCallOptions {
  readonly view: Pick<GatewayView, 'routes'>;
  /** Makes sure that the view is new; false if that cannot be known. */
  readonly ensureView: () => Promise<boolean>;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/** Admits a request, or fails with the reason to refuse it. */
export function admitCall(
  call: Call,
  {view, random}: Pick<AdmitCallOptions, 'view' | 'random'>,
): Outcome<AdmittedCall, RefusalReason> {
  if (view.routes === null) return fail('no-configuration');
  return admitBy(view.routes, call, random);
}

/**
 * Admits a request that the view would refuse for good. Callers do not retry
 * then, so the view must be new; else they are asked to return.
 */
export async function admitAgain(
  call: Call,
  {ensureView, ...options}: AdmitCallOptions,
): Promise<Outcome<AdmittedCall, RefusalReason>> {
  if (!(await ensureView())) return fail('unconfirmed');
  return admitCall(call, options);
}

/** Whether a refusal is final for callers. */
export function isFinal(outcome: Outcome<unknown, RefusalReason>): boolean {
  if (outcome.ok) return false;
  return outcome.error === 'no-route' || outcome.error === 'unknown-key';
}

function admitBy(
  index: RouteIndex,
  call: Call,
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
