/** Finds the regions in which a request may be served. */
import type {
  Route,
  RouteCustomer,
  RouteTable,
} from '../../protocol/route_table.ts';
import type {AdmittedCall} from '../forwarding/admit_call.ts';
import type {RouteIndex} from '../gateway/route_index.ts';

/** Whether a route or a customer of a table has home regions. */
export function hasHomeRegions({routes, customers}: RouteTable): boolean {
  return [...routes, ...(customers ?? [])].some(isRestricted);
}

/**
 * Returns the home regions of an admitted request by the table in force: those
 * that both its route and its customer allow; `null` if it may be served anywhere.
 *
 * The table may have been replaced since the request was admitted. A route or a
 * customer that it no longer has is taken as admitted.
 */
export function findHomeRegions(
  routes: RouteIndex | null,
  admitted: AdmittedCall,
): ReadonlySet<string> | null {
  const ofRoute = listHomes(findRoute(routes, admitted));
  const ofCustomer = listHomes(findCustomer(routes, admitted));
  if (ofRoute === null) return ofCustomer === null ? null : new Set(ofCustomer);
  const both = ofRoute.filter(each => ofCustomer?.includes(each) ?? true);
  return new Set(both);
}

/** Whether an entry of a table names home regions. */
export function isRestricted(entry: Route | RouteCustomer | null): boolean {
  return (entry?.allowedRegions?.length ?? 0) > 0;
}

function listHomes(
  entry: Route | RouteCustomer | null,
): readonly string[] | null {
  return isRestricted(entry) ? (entry?.allowedRegions ?? null) : null;
}

function findRoute(
  routes: RouteIndex | null,
  {call, route}: AdmittedCall,
): Route {
  const isSame = (each: Route) => each.name === route.name;
  return (
    routes?.findRoute(call.host, call.path) ??
    routes?.table.routes.find(isSame) ??
    route
  );
}

/** The owner of the key, or the caller at admission if the key was withdrawn. */
function findCustomer(
  routes: RouteIndex | null,
  {call, customer, caller}: AdmittedCall,
): RouteCustomer | null {
  const {key} = call.facts;
  if (key === null) return customer;
  const isCaller = (each: RouteCustomer) => each.name === caller;
  return (
    routes?.findCustomer(key) ??
    routes?.table.customers?.find(isCaller) ??
    customer
  );
}
