/**
 * Compares placement policies under demand that drifts and jumps.
 *
 * `npm run bench:placement` simulates one day for each of five seeds, with the
 * planner, with a fixed placement and with one that follows the demand at once.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  planPlacement,
  type PlacementStep,
  type PlacementEndpoint,
  type PlacementVersion,
  type PlannedOrder,
} from '../../src/coordination/placement/plan_placement.ts';

const SEEDS = [1, 2, 3, 4, 5];
const STEP_S = 10;
const STEPS = 8_640;
const LOAD_DURATION_S = 60;
const ENDPOINTS = 6;
const VERSION_SLOTS = 2;
const SLOTS = 16;
const VERSIONS = 6;
const CONCURRENT_LOADS = 2;

/** Total demand as a share of the capacity of all endpoints. */
const MEAN_LOAD = 0.55;

/** Probability of a jump of a version's demand in each step. */
const JUMP_CHANCE = 0.004;

interface Server {
  versions: string[];
  loading: {version: string; doneAt: number} | null;
}

type Policy = (
  endpoints: readonly PlacementEndpoint[],
  versions: readonly PlacementVersion[],
) => readonly PlannedOrder[];

interface Result {
  /** Demand in request-seconds that no endpoint had a slot for. */
  unserved: number;
  loads: number;
  /** Unserved request-seconds plus the capacity lost to loads. */
  cost: number;
}

/** Keeps the initial placement. */
const keepPlacement: Policy = () => [];

/** Makes the best change at once, regardless of the cost of a load. */
const followDemand: Policy = (endpoints, versions) =>
  planOnce(endpoints, versions, Infinity).orders;

/** Creates the planner as the product runs it, with its regret. */
function createPlanner(): Policy {
  let regret = 0;
  return (endpoints, versions) => {
    const step = planOnce(endpoints, versions, regret);
    ({regret} = step);
    return step.orders;
  };
}

function planOnce(
  endpoints: readonly PlacementEndpoint[],
  versions: readonly PlacementVersion[],
  regret: number,
): PlacementStep {
  return planPlacement({
    endpoints,
    versions,
    regret,
    elapsedS: STEP_S,
    loadS: LOAD_DURATION_S,
    concurrentLoads: CONCURRENT_LOADS,
  });
}

/** Simulates one day under a policy. */
function simulateDay(seed: number, policy: Policy): Result {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const names = Array.from({length: VERSIONS}, (_, index) => `m/v${index}`);
  const shares = names.map(() => 0.2 + random());
  const servers = new Map<string, Server>(
    Array.from({length: ENDPOINTS}, (_, index) => [
      `e${index}`,
      {
        versions: [names[index] ?? '', names[(index + 1) % VERSIONS] ?? ''],
        loading: null,
      },
    ]),
  );
  const result = {unserved: 0, loads: 0, cost: 0};
  for (let step = 0; step < STEPS; step++) {
    varyDemand(shares, random);
    const versions = describeVersions(names, shares);
    finishLoads(servers, step * STEP_S);
    result.unserved += computeUnserved(servers, versions) * STEP_S;
    const endpoints = describeServers(servers);
    for (const order of policy(endpoints, versions)) {
      const server = servers.get(order.endpoint);
      if (!server) continue;
      const dropped =
        order.action === 'unload' ? order.version : order.replaces;
      server.versions = server.versions.filter(each => each !== dropped);
      if (order.action === 'load') {
        const doneAt = step * STEP_S + LOAD_DURATION_S;
        server.loading = {version: order.version, doneAt};
        result.loads++;
      }
    }
  }
  // A load takes half of an endpoint's capacity while it lasts.
  result.cost = result.unserved + (result.loads * LOAD_DURATION_S * SLOTS) / 2;
  return result;
}

function varyDemand(shares: number[], random: () => number): void {
  shares.forEach((share, index) => {
    const jumped = random() < JUMP_CHANCE ? 0.1 + 2 * random() : share;
    const moved = jumped * (1 + (random() - 0.5) * 0.06);
    shares[index] = Math.min(3, Math.max(0.05, moved));
  });
}

function describeVersions(
  names: readonly string[],
  shares: readonly number[],
): PlacementVersion[] {
  const total = shares.reduce((sum, share) => sum + share, 0);
  const capacity = ENDPOINTS * SLOTS * MEAN_LOAD;
  return names.map((name, index) => ({
    name,
    usable: true,
    demand: ((shares[index] ?? 0) / total) * capacity,
  }));
}

function describeServers(
  servers: ReadonlyMap<string, Server>,
): PlacementEndpoint[] {
  return [...servers].map(([name, {versions, loading}]) => ({
    name,
    dataCentre: 'plovdiv-a',
    versions,
    versionSlots: VERSION_SLOTS,
    slots: SLOTS,
    busy: loading !== null,
  }));
}

function finishLoads(servers: ReadonlyMap<string, Server>, now: number): void {
  for (const server of servers.values()) {
    if (!server.loading || server.loading.doneAt > now) continue;
    server.versions.push(server.loading.version);
    server.loading = null;
  }
}

/**
 * Computes the concurrent requests that find no free slot. Slots go to the
 * versions with the fewest copies first, as an ideal router would assign them.
 */
function computeUnserved(
  servers: ReadonlyMap<string, Server>,
  versions: readonly PlacementVersion[],
): number {
  const free = new Map([...servers.keys()].map(name => [name, SLOTS]));
  const copies = (name: string) =>
    [...servers].filter(([, each]) => each.versions.includes(name));
  const order = [...versions].sort(
    (a, b) => copies(a.name).length - copies(b.name).length,
  );
  let unserved = 0;
  for (const {name, demand} of order) {
    let remaining = demand;
    const holders = copies(name).sort(
      ([a], [b]) => (free.get(b) ?? 0) - (free.get(a) ?? 0),
    );
    for (const [holder] of holders) {
      const taken = Math.min(remaining, free.get(holder) ?? 0);
      free.set(holder, (free.get(holder) ?? 0) - taken);
      remaining -= taken;
    }
    unserved += remaining;
  }
  return unserved;
}

const policies: ReadonlyArray<[string, () => Policy]> = [
  ['keep', () => keepPlacement],
  ['follow', () => followDemand],
  ['planner', createPlanner],
];
for (const [name, createPolicy] of policies) {
  for (const seed of SEEDS) {
    const {unserved, loads, cost} = simulateDay(seed, createPolicy());
    console.log(
      `${name.padEnd(8)} seed ${seed}: unserved ${Math.round(unserved)}, loads ${loads}, cost ${Math.round(cost)}`,
    );
  }
}
