/**
 * Plans which versions the endpoints of a pool should load.
 *
 * A load is expensive: the endpoint fetches weights from a rate-limited store
 * and serves less meanwhile. The planner therefore accumulates the regret, the
 * request-seconds that the best single change would have served, and makes
 * that change once the regret exceeds the cost of a load. A version that no
 * endpoint serves is loaded immediately.
 */
import {computeUnserved} from './compute_unserved.ts';

/** The state of an endpoint, as input of the planner. */
export interface PlacementEndpoint {
  readonly name: string;
  readonly dataCentre: string;
  /** Loaded versions as `model/version`. */
  readonly versions: readonly string[];
  /** The maximum number of loaded versions; 0 accepts no orders. */
  readonly versionSlots: number;
  /** The maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether an order to it is outstanding. */
  readonly busy: boolean;
}

/** A version declared for the pool, which may be withdrawn. */
export interface PlacementVersion {
  /** The version as `model/version`. */
  readonly name: string;
  /** Whether requests may still be routed to it. */
  readonly usable: boolean;
  /** The average number of concurrent requests, running or waiting. */
  readonly demand: number;
}

/** An order to an endpoint, with its reason. */
export interface PlannedOrder {
  readonly endpoint: string;
  readonly action: 'load' | 'unload';
  readonly version: string;
  /** The version that is evicted by a load. */
  readonly replaces?: string;
  readonly reason: string;
}

export interface PlacementStep {
  readonly orders: readonly PlannedOrder[];
  /** Request-seconds not served without the best change; for the next step. */
  readonly regret: number;
}

export interface PlanPlacementOptions {
  readonly endpoints: readonly PlacementEndpoint[];
  readonly versions: readonly PlacementVersion[];
  /** The regret returned by the previous step; 0 at first. */
  readonly regret: number;
  /** Seconds since the previous step. */
  readonly elapsedS: number;
  /** How long a load takes, in seconds. */
  readonly loadS: number;
  /** The maximum number of concurrent loads. */
  readonly concurrentLoads: number;
}

/** The share of an endpoint's slots that is unavailable during a load. */
const LOAD_SLOT_SHARE = 0.5;

/** The copies that a version gets if there is room, to tolerate failures. */
const SPARE_COPIES = 2;

/** The maximum number of changes that one step evaluates. */
const MAX_CHANGES = 256;

/** Plans the orders of one step. */
export function planPlacement(options: PlanPlacementOptions): PlacementStep {
  const {endpoints, versions, concurrentLoads} = options;
  const unloads = planUnloads(endpoints, versions);
  const running = endpoints.filter(each => each.busy).length;
  if (running + unloads.length >= concurrentLoads) {
    return {orders: unloads, regret: options.regret};
  }
  const used = new Set(unloads.map(each => each.endpoint));
  const idle = listIdle(endpoints, used);
  const missing = planMissingCopy(options, idle);
  if (missing) return {orders: [...unloads, missing], regret: options.regret};
  return planBestChange(options, idle, unloads);
}

/** Plans to unload versions that requests may no longer be routed to. */
function planUnloads(
  endpoints: readonly PlacementEndpoint[],
  versions: readonly PlacementVersion[],
): PlannedOrder[] {
  const usable = new Set(
    versions.filter(each => each.usable).map(each => each.name),
  );
  return listIdle(endpoints, new Set()).flatMap(endpoint => {
    const version = endpoint.versions.find(each => !usable.has(each));
    if (version === undefined) return [];
    const reason = 'nothing may be routed to the version';
    return [{endpoint: endpoint.name, action: 'unload', version, reason}];
  });
}

/** Plans the first copy of a version, or a spare one if there is room. */
function planMissingCopy(
  options: PlanPlacementOptions,
  idle: readonly PlacementEndpoint[],
): PlannedOrder | null {
  const {endpoints, versions} = options;
  const underReplicated = versions
    .filter(each => each.usable)
    .map(({name, demand}) => ({
      name,
      demand,
      copies: countCopies(endpoints, name),
    }))
    .filter(({copies}) => copies < SPARE_COPIES)
    .sort((a, b) => a.copies - b.copies || b.demand - a.demand);
  for (const {name, copies} of underReplicated) {
    const endpoint = findFreeEndpoint(endpoints, idle, name);
    const reason =
      copies === 0 ? 'no endpoint serves the version' : 'room for a spare copy';
    if (endpoint) {
      return {endpoint: endpoint.name, action: 'load', version: name, reason};
    }
    const victim = copies === 0 ? findVictim(endpoints, idle, name) : null;
    if (victim) return {...victim, action: 'load', version: name, reason};
  }
  return null;
}

/** Plans the change that serves most, once its regret exceeds its cost. */
function planBestChange(
  options: PlanPlacementOptions,
  idle: readonly PlacementEndpoint[],
  unloads: readonly PlannedOrder[],
): PlacementStep {
  const {endpoints, versions, elapsedS, loadS} = options;
  const before = computeUnserved(endpoints, versions);
  if (before === 0) return {orders: unloads, regret: 0};
  let best: PlannedOrder | null = null;
  let gain = 0;
  for (const change of listChanges(idle, endpoints, versions)) {
    const after = computeUnserved(applyChange(endpoints, change), versions);
    if (before - after <= gain) continue;
    gain = before - after;
    best = change;
  }
  const regret = options.regret + gain * elapsedS;
  const slots =
    endpoints.find(each => each.name === best?.endpoint)?.slots ?? 0;
  if (!best || regret < loadS * slots * LOAD_SLOT_SHARE) {
    return {orders: unloads, regret};
  }
  const reason = `${regret.toFixed(0)} request-seconds were lost without it`;
  return {orders: [...unloads, {...best, reason}], regret: 0};
}

/** Lists the changes to evaluate, by demand per copy, on idle endpoints. */
function listChanges(
  idle: readonly PlacementEndpoint[],
  endpoints: readonly PlacementEndpoint[],
  versions: readonly PlacementVersion[],
): PlannedOrder[] {
  const byDemand = [...versions]
    .filter(each => each.usable)
    .sort(
      (a, b) =>
        b.demand / countCopies(endpoints, b.name) -
        a.demand / countCopies(endpoints, a.name),
    );
  const changes: PlannedOrder[] = [];
  for (const {name} of byDemand) {
    for (const endpoint of idle) {
      if (changes.length >= MAX_CHANGES) return changes;
      if (endpoint.versions.includes(name)) continue;
      const load = {
        endpoint: endpoint.name,
        action: 'load',
        version: name,
        reason: '',
      } as const;
      if (endpoint.versions.length < endpoint.versionSlots) changes.push(load);
      else {
        const victims = endpoint.versions.filter(
          each => countCopies(endpoints, each) > 1,
        );
        changes.push(...victims.map(replaces => ({...load, replaces})));
      }
    }
  }
  return changes;
}

function applyChange(
  endpoints: readonly PlacementEndpoint[],
  change: PlannedOrder,
): PlacementEndpoint[] {
  return endpoints.map(endpoint => {
    if (endpoint.name !== change.endpoint) return endpoint;
    const kept = endpoint.versions.filter(each => each !== change.replaces);
    return {...endpoint, versions: [...kept, change.version]};
  });
}

/** Finds an endpoint with room, in the data centre with the fewest copies. */
function findFreeEndpoint(
  endpoints: readonly PlacementEndpoint[],
  idle: readonly PlacementEndpoint[],
  version: string,
): PlacementEndpoint | null {
  const copiesIn = (dataCentre: string) =>
    countCopies(
      endpoints.filter(each => each.dataCentre === dataCentre),
      version,
    );
  const free = idle
    .filter(each => !each.versions.includes(version))
    .filter(each => each.versions.length < each.versionSlots)
    .sort(
      (a, b) =>
        copiesIn(a.dataCentre) - copiesIn(b.dataCentre) ||
        a.versions.length - b.versions.length,
    );
  return free[0] ?? null;
}

/** Finds a copy to evict: one of the version with the most copies. */
function findVictim(
  endpoints: readonly PlacementEndpoint[],
  idle: readonly PlacementEndpoint[],
  version: string,
): {endpoint: string; replaces: string} | null {
  const candidates = idle
    .filter(each => !each.versions.includes(version))
    .flatMap(({name, versions}) =>
      versions.map(replaces => ({endpoint: name, replaces})),
    )
    .map(each => ({...each, copies: countCopies(endpoints, each.replaces)}))
    .filter(({copies}) => copies > 1)
    .sort((a, b) => b.copies - a.copies);
  const [best] = candidates;
  return best ? {endpoint: best.endpoint, replaces: best.replaces} : null;
}

function listIdle(
  endpoints: readonly PlacementEndpoint[],
  used: ReadonlySet<string>,
): PlacementEndpoint[] {
  return endpoints.filter(
    each => each.versionSlots > 0 && !each.busy && !used.has(each.name),
  );
}

function countCopies(
  endpoints: readonly PlacementEndpoint[],
  version: string,
): number {
  return endpoints.filter(each => each.versions.includes(version)).length;
}
