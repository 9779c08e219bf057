/**
 * Plans which versions the endpoints of a pool should load.
 *
 * A load costs: the endpoint fetches weights from a store that is rate
 * limited, and serves less meanwhile. So the planner adds up what the best
 * single change would have saved so far, and makes it once that exceeds the
 * cost of a load. A version that nobody serves at all is loaded at once.
 */
import {computeUnserved} from './compute_unserved.ts';

/** An endpoint as the planner sees it. */
export interface PlacementEndpoint {
  readonly name: string;
  readonly dataCentre: string;
  /** Loaded versions as `model/version`. */
  readonly versions: readonly string[];
  /** The most versions that fit; 0 takes no orders. */
  readonly versionSlots: number;
  /** The most requests that it runs at once. */
  readonly slots: number;
  /** Whether an order to it is outstanding. */
  readonly busy: boolean;
}

/** A version that the pool should serve, or must not any more. */
export interface PlacementVersion {
  /** The version as `model/version`. */
  readonly name: string;
  /** Whether anything may still be routed to it. */
  readonly usable: boolean;
  /** Requests that run or want to run at once, on average. */
  readonly demand: number;
}

/** An order with its reason. */
export interface PlannedOrder {
  readonly endpoint: string;
  readonly action: 'load' | 'unload';
  readonly version: string;
  /** The version that makes room for a load. */
  readonly replaces?: string;
  readonly reason: string;
}

export interface PlacementStep {
  readonly orders: readonly PlannedOrder[];
  /** Request-seconds lost for want of the best change; for the next step. */
  readonly regret: number;
}

export interface PlanPlacementOptions {
  readonly endpoints: readonly PlacementEndpoint[];
  readonly versions: readonly PlacementVersion[];
  /** The regret of the step before, 0 at first. */
  readonly regret: number;
  /** Seconds since the last step. */
  readonly elapsedS: number;
  /** How long a load takes, in seconds. */
  readonly loadS: number;
  /** How many loads may run at once. */
  readonly concurrentLoads: number;
}

/** The share of an endpoint's slots that a load keeps from work. */
const LOAD_SLOT_SHARE = 0.5;

/** Copies that a version gets where room is free, against failures. */
const SPARE_COPIES = 2;

/** The most changes that one step weighs. */
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

/** Unloads versions that nothing may be routed to any more. */
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

/** Loads a version that has no copy, or one to spare where room is free. */
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

/** Makes the change that serves most, once it has been missed for long. */
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

/** The changes worth weighing: the versions in want, on any idle endpoint. */
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

/** An endpoint with room, in the data centre that has fewest copies. */
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

/** The copy that is missed least: of the version that has most. */
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
