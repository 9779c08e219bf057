/**
 * Guards against requests that leave the home regions in force: their first
 * attempts, retries, larger models, successors of streams, and relays to other
 * gateways, while the regions change.
 *
 * HOME_SEEDS sets how many histories are played, from HOME_FROM on.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {
  Route,
  RouteCustomer,
  RouteTable,
} from '../../protocol/route_table.ts';
import {createDraws, type Draws} from '../../protocol/seeded_draws.ts';
import type {AttemptOptions, Call} from '../forwarding/call.ts';
import {createCall} from '../forwarding/call_fakes.ts';
import {createAnswer, waitForAbort} from '../forwarding/fake_answers.ts';
import {
  createEndpoint,
  createRoute,
  createTable,
  createFollowReply,
  FakeGateway,
  type Behaviour,
} from '../forwarding/forwarding_fakes.ts';
import {RecordingSink} from '../forwarding/recording_sink_fake.ts';
import {sendStream} from '../forwarding/stream_fakes.ts';

const SEEDS = Number(process.env['HOME_SEEDS'] ?? 12);
const FIRST_SEED = Number(process.env['HOME_FROM'] ?? 1);

/** How long a history takes, and how often requests come and regions change. */
const HISTORY_MS = 12_000;
const STEP_MS = 50;
const CHANGE_SHARE = 0.05;

/** How long the opening of a connection takes at most, in ms. */
const MAX_CONNECT_MS = 600;

const REGIONS = ['r', 'south', 'west', 'east'];
const KEYS = ['k1', 'k2', 'k3'];
const PATHS = ['/call', '/stream', '/model'];

/** The kinds of sending that a set of histories must contain. */
const KINDS = [
  'first',
  'retry',
  'larger',
  'successor',
  'relay',
  'withdrawn',
] as const;

type Kind = (typeof KINDS)[number];

const ENGINE = {
  slots: 8,
  memoryTokens: 500_000,
  tokensPerEvent: 5,
  models: [],
};

/** Draws the regions of a route or customer: none, one, or some. */
function drawHomes(draws: Draws): string[] | undefined {
  if (draws.next() < 0.35) return undefined;
  return REGIONS.filter(() => draws.next() < 0.5);
}

function drawTable(draws: Draws, version: number): RouteTable {
  const base = {maxAttempts: 4, timeoutMs: 8_000, objectiveMs: 2_000};
  const stream = {...base, repeatability: 'stream', resumable: true} as const;
  const routes = [
    createRoute({...base, name: 'call', pathPrefix: '/call'}),
    createRoute({...stream, name: 'stream', pathPrefix: '/stream'}),
    createRoute({
      ...stream,
      name: 'model',
      pathPrefix: '/model',
      models: ['small', 'large'],
    }),
  ].map(route => withHomes<Route>(route, draws));
  const customers = KEYS.map((key, index) =>
    withHomes<RouteCustomer>(
      {name: `c${index}`, keys: [key], priority: null},
      draws,
    ),
  );
  const [first = createRoute()] = routes;
  return {...createTable(first, {engine: ENGINE, customers}), routes, version};
}

function withHomes<T extends Route | RouteCustomer>(entry: T, draws: Draws): T {
  const allowedRegions = drawHomes(draws);
  return allowedRegions ? {...entry, allowedRegions} : entry;
}

/** Whether a table allows a request in a region; written down apart. */
function allows(table: RouteTable, call: Call, region: string | null): boolean {
  const route = table.routes.find(each => call.path === each.pathPrefix);
  const customer = table.customers?.find(({keys}) =>
    keys.includes(call.facts.key ?? ''),
  );
  return [route, customer].every(entry => {
    const homes = entry?.allowedRegions ?? [];
    return homes.length === 0 || (region !== null && homes.includes(region));
  });
}

interface Site {
  readonly table: RouteTable;
  readonly findRegion: (dataCentre: string) => string | null;
  readonly counts: Record<Kind, number>;
  /** Sendings outside the homes in force. */
  readonly faults: string[];
  /** Whether the gateway reaches no endpoint. */
  readonly isCut: boolean;
}

/** Records a sending, and a fault if it leaves the homes in force. */
function recordSending(
  {table, counts, faults}: Site,
  {call, kind, region}: {call: Call; kind: Kind; region: string | null},
): void {
  counts[kind]++;
  if (allows(table, call, region)) return;
  const {path, facts} = call;
  faults.push(`${kind} of ${path} with ${facts.key} to ${region}`);
}

function getKind(
  known: Set<string>,
  call: Call,
  {model, lastEventId}: AttemptOptions,
): Kind {
  const id = call.facts.attemptId ?? '';
  const isFirst = !known.has(id);
  known.add(id);
  if (isFirst) return 'first';
  if (lastEventId !== null) return 'successor';
  return model === 'large' ? 'larger' : 'retry';
}

/** Endpoints that take their time to be reached, fail, break off or fall silent. */
function createBehaviour(draws: Draws, site: Site): Behaviour {
  const known = new Set<string>();
  return async (call, options, clock) => {
    if (site.isCut) return {type: 'not-sent', reason: 'ECONNREFUSED'};
    await clock.sleep(draws.next() ** 3 * MAX_CONNECT_MS);
    if (!options.mayBegin()) {
      site.counts.withdrawn++;
      return {type: 'withdrawn'};
    }
    const kind = getKind(known, call, options);
    const region = site.findRegion(options.endpoint.dataCentre);
    recordSending(site, {call, kind, region});
    const fate = draws.next();
    if (fate < 0.1) return {type: 'broken', reason: 'ECONNRESET'};
    if (fate < 0.2) return {type: 'not-sent', reason: 'ECONNREFUSED'};
    if (fate < 0.3) return createAnswer(call, options, {status: 500});
    if (call.path === '/call') {
      await clock.sleep(draws.next() * 300);
      return createAnswer(call, options);
    }
    if (call.path === '/model' && options.model === 'small') {
      return createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\ndata: a\n\n', 'id: 2\ndata: a\n\n'],
        facts: {confidence: draws.between(0, 30)},
      });
    }
    const fromMs = clock.monotonic() + draws.next() * 3_000;
    const silence = [fromMs, fromMs + 6_000] as const;
    const isSilent = draws.next() < 0.3;
    return sendStream({
      call,
      options: {...options, mayBegin: () => true},
      clock,
      ...(isSilent && {silence}),
    });
  };
}

/** Plays one history; returns the sendings and faults that occurred. */
async function playHistory(seed: number): Promise<Site> {
  const draws = createDraws(seed);
  const centres = Array.from({length: draws.between(2, 6)}, (_, index) => ({
    name: `dc${index}`,
    region: REGIONS[draws.between(0, REGIONS.length - 1)] ?? 'r',
  }));
  const regions = new Map(centres.map(each => [each.name, each.region]));
  // The region of one data centre is unknown in some histories.
  if (draws.next() < 0.3) regions.delete('dc1');
  let version = 1;
  const site = {
    table: drawTable(draws, ++version),
    findRegion: (name: string) => regions.get(name) ?? null,
    counts: Object.fromEntries(KINDS.map(kind => [kind, 0])) as Site['counts'],
    faults: [] as string[],
    isCut: false,
  };
  const endpoints = Array.from({length: draws.between(3, 16)}, (_, index) =>
    createEndpoint(`e${index}`, {
      dataCentre: centres[index % centres.length]?.name ?? 'dc0',
    }),
  );
  const gateway: FakeGateway = new FakeGateway({
    endpoints,
    behave: createBehaviour(draws, site),
    random: draws.next,
    findRegion: site.findRegion,
    probe: async () => !site.isCut,
    retryRatio: 5,
    sendRelayed: async (call, options) => {
      await gateway.clock.sleep(draws.next() ** 3 * MAX_CONNECT_MS);
      if (!options.mayBegin()) {
        site.counts.withdrawn++;
        return {type: 'withdrawn'};
      }
      const [region = null] = options.address.split('/');
      recordSending(site, {call, kind: 'relay', region});
      if (draws.next() < 0.3) return {type: 'not-sent', reason: 'ECONNRESET'};
      return createAnswer(call, {signal: call.signal} as AttemptOptions);
    },
  });
  gateway.receiveTable(site.table);
  const others = REGIONS.flatMap(region => [`${region}/1`, `${region}/2`]);
  gateway.view.apply(
    createFollowReply({
      complete: false,
      openGateways: others.map(address => {
        const [region = ''] = address.split('/');
        return {address, region, dataCentre: `gw-${region}`, open: true};
      }),
    }),
  );
  const open: Array<Promise<void>> = [];
  for (let at = 0; at < HISTORY_MS; at += STEP_MS) {
    if (draws.next() < CHANGE_SHARE) {
      site.table = drawTable(draws, ++version);
      gateway.receiveTable(site.table);
    }
    if (at % 3_000 === 0) site.isCut = draws.next() < 0.25;
    const call = createCall(`a${at}`, {
      facts: {
        key: KEYS[draws.between(0, KEYS.length - 1)] ?? null,
        isModelOpen: true,
        promptTokens: 100,
      },
      receivedAt: gateway.clock.monotonic(),
    });
    const path = PATHS[draws.between(0, PATHS.length - 1)] ?? '/call';
    open.push(gateway.forwarder.forward({...call, path}, new RecordingSink()));
    await gateway.clock.advance(STEP_MS);
  }
  await gateway.clock.advance(20_000);
  await Promise.all(open);
  return site;
}

test('no request leaves the home regions in force', async () => {
  const sums = Object.fromEntries(KINDS.map(kind => [kind, 0]));
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const {counts, faults} = await playHistory(seed);
    assert.deepEqual(faults, [], `seed ${seed}`);
    for (const kind of KINDS) sums[kind] = (sums[kind] ?? 0) + counts[kind];
  }
  for (const kind of KINDS) assert.ok((sums[kind] ?? 0) > 0, `no ${kind}`);
});

// Guards against a stream whose successor is chosen by the regions at its admission.
test('a stream moves to the homes in force after a change', async () => {
  const route = createRoute({
    repeatability: 'stream',
    resumable: true,
    maxAttempts: 3,
    timeoutMs: 25_000,
    allowedRegions: ['r'],
  });
  const gateway: FakeGateway = new FakeGateway({
    route,
    endpoints: [
      createEndpoint('e1', {dataCentre: 'a'}),
      createEndpoint('e2', {dataCentre: 'a'}),
      createEndpoint('e3', {dataCentre: 'b'}),
    ],
    findRegion: name => (name === 'a' ? 'r' : 'south'),
    behave: async (call, options, clock) => {
      const isFirst = gateway.attempts[0] === options;
      const silence = [1_000, 9_000] as const;
      return sendStream({call, options, clock, ...(isFirst && {silence})});
    },
  });
  const {sink, done} = gateway.start();
  await gateway.clock.advance(500);
  gateway.receiveTable({
    ...createTable({...route, allowedRegions: ['south']}),
    version: 2,
  });
  await gateway.clock.advance(30_000);
  await done;
  assert.equal(sink.outcome, 'whole');
  const centres = gateway.attempts.map(({endpoint}) => endpoint.dataCentre);
  assert.deepEqual(centres, ['a', 'b']);
});

// Guards against requests that wait for their deadline, or are refused as unknown.
test('a request without a home endpoint is refused at once as not run', async () => {
  const gateway = new FakeGateway({
    route: createRoute({allowedRegions: ['south']}),
    endpoints: [createEndpoint('e1')],
    behave: async (_call, {signal}) => {
      await waitForAbort(signal).catch(() => {});
      return {type: 'aborted'};
    },
  });
  const {sink, done} = gateway.start();
  await done;
  assert.equal(sink.status, 503);
  assert.equal(sink.text, '{"error":"no-home-endpoint"}');
  const after = sink.headers.find(([name]) => name === 'Retry-After');
  assert.ok(Number(after?.[1]) > 0);
  assert.equal(gateway.attempts.length, 0);
});

// Guards against requests with homes for which no gateway is found, and which keep
// others of the service from being relayed.
test('a relay that lacks a home gateway holds up no other one', async () => {
  const bound = createRoute({
    name: 'r2',
    pathPrefix: '/bound',
    allowedRegions: ['south'],
  });
  const relayed: string[] = [];
  const gateway = new FakeGateway({
    endpoints: [createEndpoint('e1')],
    behave: async () => ({type: 'not-sent', reason: 'ECONNREFUSED'}),
    probe: async () => false,
    sendRelayed: async (call, {address}) => {
      relayed.push(`${call.path} ${address}`);
      return createAnswer(call, {signal: call.signal} as AttemptOptions);
    },
  });
  const table = createTable(createRoute());
  gateway.receiveTable({
    ...table,
    routes: [bound, ...table.routes],
    version: 2,
  });
  gateway.view.apply(
    createFollowReply({
      complete: false,
      openGateways: [{address: 'g2', region: 'r', dataCentre: 'a', open: true}],
    }),
  );
  // Shows that the path is lost.
  await gateway.request();
  relayed.length = 0;
  const call = createCall('b1', {receivedAt: gateway.clock.monotonic()});
  const sink = new RecordingSink();
  await gateway.forwarder.forward({...call, path: '/bound'}, sink);
  assert.equal(sink.status, 503);
  assert.equal((await gateway.request()).status, 200);
  assert.deepEqual(relayed, ['/x g2']);
});

test.run();
