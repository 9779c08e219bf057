import assert from 'node:assert/strict';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import type {Endpoint} from '../membership/endpoint_table.ts';
import {createEndpointRouter} from './create_endpoint_router.ts';
import {SUBSET_SIZE} from './endpoint_group.ts';

interface Fixture {
  readonly endpoints: Endpoint[];
  now: number;
  readonly router: ReturnType<typeof createEndpointRouter>;
}

function createEndpoint(
  name: string,
  changes: Partial<Endpoint> = {},
): Endpoint {
  return {
    name,
    incarnation: '1',
    address: '127.0.0.1:1',
    region: 'r1',
    dataCentre: 'd1',
    pool: 'p',
    versions: ['draft/v1'],
    slots: 4,
    versionSlots: 0,
    checksFencing: false,
    resumes: true,
    leaving: false,
    inFlight: 0,
    loadTakenAt: 0,
    ...changes,
  };
}

function create(endpoints: Endpoint[], gateway = 'g1'): Fixture {
  const generator = xoroshiro128plus(1);
  const fixture: Fixture = {
    endpoints,
    now: 0,
    router: createEndpointRouter({
      gateway,
      region: 'r1',
      dataCentre: 'd1',
      clock: {monotonic: () => fixture.now},
      random: () => uniformFloat64(generator),
      listEndpoints: () => endpoints,
    }),
  };
  return fixture;
}

const route = {pool: 'p', version: 'draft/v1'};

/** Runs one attempt to its end. */
function run(
  fixture: Fixture,
  endpoint: Endpoint,
  {ms = 100, result = 'answered' as 'answered' | 'failed'} = {},
): void {
  using attempt = fixture.router.begin(endpoint, route);
  fixture.now += ms;
  if (result === 'answered') attempt.recordFirstToken(ms);
  attempt.recordEnd(result);
}

test('select() takes the endpoint with the least corrected load', () => {
  const busy = createEndpoint('a', {
    load: {running: 3, waiting: 0, ageMs: 0},
  });
  const idle = createEndpoint('b', {
    load: {running: 0, waiting: 0, ageMs: 0},
  });
  const {router} = create([busy, idle]);
  assert.equal(router.select(route)?.endpoint.name, 'b');
  for (let index = 0; index < 4; index++) router.begin(idle, route);
  assert.equal(router.select(route)?.endpoint.name, 'a');
});

test('measurePool() does not count its own requests as those of others', () => {
  const endpoint = createEndpoint('a');
  const fixture = create([endpoint]);
  fixture.router.begin(endpoint, route);
  fixture.router.begin(endpoint, route);
  fixture.now = 50;
  endpoint.load = {running: 3, waiting: 0, ageMs: 0};
  endpoint.loadTakenAt = 50;
  assert.deepEqual(fixture.router.measurePool('p'), {
    slots: 4,
    free: 3,
    endpoints: 1,
  });
});

test('select() avoids a slow endpoint and tries it again later', () => {
  const slow = createEndpoint('slow');
  const quick = createEndpoint('quick');
  const fixture = create([slow, quick]);
  for (let index = 0; index < 10; index++) {
    run(fixture, slow, {ms: 2_000});
    run(fixture, quick, {ms: 100});
  }
  assert.equal(fixture.router.select(route)?.endpoint.name, 'quick');
  const held = [1, 2].map(() => fixture.router.begin(quick, route));
  assert.equal(fixture.router.select(route)?.endpoint.name, 'quick');
  fixture.now += 120_000;
  assert.equal(fixture.router.select(route)?.endpoint.name, 'slow');
  for (const attempt of held) attempt[Symbol.dispose]();
});

test('select() avoids ejected endpoints, unless all are ejected', () => {
  const [a, b] = [createEndpoint('a'), createEndpoint('b')];
  const fixture = create([a, b]);
  for (let index = 0; index < 3; index++) {
    run(fixture, a, {ms: 1, result: 'failed'});
  }
  const picks = () =>
    Array.from({length: 8}, () => fixture.router.select(route)?.endpoint.name);
  assert.deepEqual(new Set(picks()), new Set(['b']));
  for (let index = 0; index < 3; index++) {
    run(fixture, b, {ms: 1, result: 'failed'});
  }
  assert.ok(fixture.router.select(route));
});

// Guards against requests that join those which wait for a silent endpoint.
test('select() avoids an endpoint at which attempts are silent', () => {
  const [a, b] = [createEndpoint('a'), createEndpoint('b')];
  const {router} = create([a, b]);
  const attempts = [1, 2, 3].map(() => router.begin(a, route));
  const picks = () =>
    Array.from({length: 8}, () => router.select(route)?.endpoint.name);
  for (const attempt of attempts.slice(1)) {
    attempt.recordSilence();
    attempt.recordEnd('failed');
  }
  for (let index = 0; index < 8; index++) router.begin(b, route);
  assert.ok(picks().includes('a'));
  attempts[0]?.recordSilence();
  assert.ok(!picks().includes('a'));
});

test('select() prefers an endpoint that caches the prefix, if not busy', () => {
  const [a, b] = [createEndpoint('a'), createEndpoint('b')];
  const {router} = create([a, b]);
  const prompt = 'history '.repeat(1_000);
  router.begin(b, {...route, prompt})[Symbol.dispose]();
  const again = router.select({...route, prompt: `${prompt} and more`});
  assert.equal(again?.endpoint.name, 'b');
  for (let index = 0; index < 12; index++) router.begin(b, route);
  assert.equal(router.select({...route, prompt})?.endpoint.name, 'a');
});

test('select() uses another region only if its own is saturated', () => {
  const near = createEndpoint('near');
  const far = createEndpoint('far', {region: 'r2'});
  const fixture = create([near, far]);
  assert.equal(fixture.router.select(route)?.endpoint.name, 'near');
  run(fixture, near, {ms: 1_000});
  for (let index = 0; index < 6; index++) fixture.router.begin(near, route);
  assert.equal(fixture.router.select(route)?.endpoint.name, 'far');
  const costly = fixture.router.select({...route, bytes: 1_000_000});
  assert.equal(costly?.endpoint.name, 'near');
});

test('select() skips draining, avoided and unsuitable endpoints', () => {
  const endpoints = [
    createEndpoint('leaving', {leaving: true}),
    createEndpoint('other', {versions: ['draft/v2']}),
    createEndpoint('elsewhere', {pool: 'q'}),
    createEndpoint('avoided'),
  ];
  const {router} = create(endpoints);
  const avoided = new Set(['avoided']);
  assert.equal(router.select({...route, avoided}), null);
  assert.deepEqual(router.listServed(), new Set(['draft/v1', 'draft/v2']));
});

test('select() uses a small and stable subset of many endpoints', () => {
  const endpoints = Array.from({length: 300}, (_, index) =>
    createEndpoint(`e${index}`),
  );
  const pick = (gateway: string) => {
    const {router} = create(endpoints, gateway);
    const names = Array.from(
      {length: 500},
      () => router.select(route)?.endpoint.name,
    );
    return new Set(names);
  };
  const first = pick('g1');
  assert.ok(first.size <= SUBSET_SIZE);
  assert.deepEqual([...pick('g1')].sort(), [...first].sort());
  assert.notDeepEqual([...pick('g2')].sort(), [...first].sort());
});

test.run();
