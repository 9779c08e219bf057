/** Computes the urgency that an attempt has at an engine; 0 goes first. */
import type {Route, RouteCustomer} from '../../protocol/route_table.ts';
import type {AdmittedCall} from '../forwarding/admit_call.ts';

/** One step more urgent than the default of engines, which is 5. */
const SMALL_MODEL_URGENCY = 4;

/**
 * The least urgent rank that engines tell apart: each rank takes two of their
 * ten steps.
 */
const LAST_RANK = 4;

/** Computes the urgency of an attempt with a model; `null` leaves the default. */
export type ComputeUrgency = (
  admitted: Pick<AdmittedCall, 'route' | 'service' | 'customer'>,
  model: string | null,
) => number | null;

/** The rank of a request: its customer's priority, else that of its route. */
export function getRank({
  route,
  customer,
}: {
  readonly route: Pick<Route, 'priority'>;
  readonly customer: Pick<RouteCustomer, 'priority'> | null;
}): number {
  return customer?.priority ?? route.priority;
}

/**
 * Computes the urgency from the size of the model alone. Attempts at the
 * smallest model go first: they delay longer ones only a little, and show sooner
 * whether an escalation is needed.
 */
export const computeModelUrgency: ComputeUrgency = ({route}, model) =>
  isSmallest(route, model) ? SMALL_MODEL_URGENCY : null;

/**
 * Computes the urgency from the rank. The smallest model goes one step ahead
 * within its rank, and no model ahead of a more urgent rank.
 */
export const computeRankUrgency: ComputeUrgency = (admitted, model) => {
  if (!admitted.service.engine) return null;
  const rank = Math.min(LAST_RANK, getRank(admitted));
  return 2 * rank + (isSmallest(admitted.route, model) ? 0 : 1);
};

function isSmallest({models}: Route, model: string | null): boolean {
  return model !== null && models.length > 1 && model === models[0];
}
