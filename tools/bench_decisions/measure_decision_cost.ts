/** Measures the time of one decision by number of versions and endpoints. */
import type {Endpoint} from '../../src/coordination/membership/endpoint_table.ts';
import {QualityTable} from '../../src/coordination/quality/quality_table.ts';
import {createEndpointRouter} from '../../src/coordination/routing/create_endpoint_router.ts';
import {planCompletion} from '../../src/coordination/routing/plan_completion.ts';
import {
  declarationSchema,
  formatVersion,
} from '../../src/protocol/declaration.ts';
import {VirtualClock} from './virtual_clock.ts';
import {createRandom} from './workload.ts';

export interface DecisionCostOptions {
  readonly versions: number;
  readonly endpoints: number;
}

/** Time of each part of a decision, in microseconds. */
export interface DecisionCost {
  readonly planUs: number;
  readonly selectUs: number;
  /**
   * Paid once in each rebuild interval, at least 100 ms, regardless of the
   * request rate.
   */
  readonly rebuildUs: number;
}

/** Versions of one model, from which a request's version is chosen. */
const VERSIONS_PER_MODEL = 3;

/** Number of timed decisions; as many run before them as a warm-up. */
const REPEATS = 5_000;

/** Number of timed rebuilds of the endpoint groups. */
const REBUILDS = 20;

/** Longer than the lifetime of endpoint groups, so that each is rebuilt. */
const REBUILD_STEP_MS = 1_000;

export function measureDecisionCost({
  versions,
  endpoints,
}: DecisionCostOptions): DecisionCost {
  const declaration = createDeclaration(versions);
  const clock = new VirtualClock();
  const random = createRandom(1);
  const names = declaration.versions.map(formatVersion);
  const list = Array.from({length: endpoints}, (_, index) =>
    createEndpoint(index, names),
  );
  const router = createEndpointRouter({
    ...{gateway: 'g1', region: 'r0', dataCentre: 'd0'},
    ...{clock, random, listEndpoints: () => list},
  });
  const quality = new QualityTable({clock});
  const prompt = 'history of the job '.repeat(200);
  const plan = () =>
    planCompletion({
      view: {
        ...{revision: 1, declaration},
        ...{withdrawals: [], draining: [], rollouts: []},
      },
      customer: declaration.customers[0]!,
      model: 'm0',
      routingKey: 'r1',
      served: router.listServed(),
      streamed: false,
      deadlineMs: 20_000,
      promptTokens: 800,
      completionTokens: 150,
      estimateQuality: (version, requestClass) =>
        quality.estimate(version, requestClass),
      estimateSpeed: version =>
        router.estimateSpeed(version.pool, formatVersion(version)),
      rating: {available: true, delayMs: 400},
      random,
    });
  const route = {pool: 'p', version: names[0], prompt};
  const select = () => router.select(route);
  const rebuild = () => {
    clock.advance(REBUILD_STEP_MS);
    router.listServed();
  };
  return {
    planUs: measureUs(plan, REPEATS),
    selectUs: measureUs(select, REPEATS),
    rebuildUs: measureUs(rebuild, REBUILDS),
  };
}

function measureUs(decide: () => unknown, repeats: number): number {
  for (let index = 0; index < repeats; index++) decide();
  const since = performance.now();
  for (let index = 0; index < repeats; index++) decide();
  return ((performance.now() - since) * 1_000) / repeats;
}

function createDeclaration(count: number) {
  return declarationSchema.parse({
    version: 1,
    versions: Array.from({length: count}, (_, index) => ({
      model: `m${Math.floor(index / VERSIONS_PER_MODEL)}`,
      name: `v${index % VERSIONS_PER_MODEL}`,
      pool: 'p',
      prompt_price: 10 + index,
      completion_price: 30 + index,
      expected_quality: 0.7 + 0.1 * (index % VERSIONS_PER_MODEL),
    })),
    customers: [
      {
        name: 'c',
        key_sha256: '0'.repeat(64),
        versions: ['m0/*'],
        targets: [{quality: 0.8}],
      },
    ],
  });
}

/** Creates an endpoint with two versions, in one of three regions. */
function createEndpoint(index: number, names: readonly string[]): Endpoint {
  const version = (offset: number) => names[(index + offset) % names.length]!;
  return {
    ...{name: `e${index}`, incarnation: '1', address: '', pool: 'p'},
    ...{region: `r${index % 3}`, dataCentre: `d${index % 12}`},
    ...{versions: [version(0), version(1)], versionSlots: 2, slots: 8},
    ...{checksFencing: false, resumes: true, leaving: false},
    ...{inFlight: index % 5, loadTakenAt: 0},
    load: {running: index % 7, waiting: 0, ageMs: 0},
  };
}
