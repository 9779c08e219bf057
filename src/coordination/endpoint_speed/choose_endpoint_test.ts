/**
 * Guards against a changed choice where endpoints are alike, against gateways that
 * all choose one endpoint, and against requests that leave a data centre too soon
 * or too late.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {RoutedService} from '../../protocol/route_table.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {
  chooseEndpoint,
  type ChooseEndpointOptions,
  type EndpointCandidate,
} from '../forwarding/choose_endpoint.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {USUAL_TIME} from './time_factor.ts';

const PLAIN: RoutedService = {name: 'app', maxConnections: 100, engine: null};
const ENGINE: RoutedService = {
  ...PLAIN,
  engine: {slots: 16, memoryTokens: 1, tokensPerEvent: 1, models: []},
};

function createCandidate(
  id: string,
  {
    dataCentre = 'a',
    ...change
  }: Partial<EndpointCandidate> & {dataCentre?: string} = {},
): EndpointCandidate {
  return {
    endpoint: createEndpoint(id, {dataCentre, slots: 10}),
    open: 0,
    isEjected: false,
    isFull: false,
    failureShare: 0,
    waitMs: 0,
    plan: {uncachedTokens: 0, ms: 0},
    time: USUAL_TIME,
    ...change,
  };
}

function createOptions(
  candidates: readonly EndpointCandidate[],
  change: Partial<ChooseEndpointOptions> = {},
): ChooseEndpointOptions {
  return {
    service: PLAIN,
    candidates,
    region: 'r',
    dataCentre: 'a',
    findRegion: name => (name === 'far' ? 'other' : 'r'),
    leftMs: 1_000,
    random: () => 0.5,
    ...change,
  };
}

function choose(
  candidates: readonly EndpointCandidate[],
  change: Partial<ChooseEndpointOptions> = {},
): string | undefined {
  return chooseEndpoint(createOptions(candidates, change))?.endpoint.id;
}

/** The choice before endpoints had speeds. */
function chooseWithoutSpeeds(
  options: ChooseEndpointOptions,
): EndpointEntry | undefined {
  const {candidates, service, leftMs, random, region, findRegion} = options;
  const pools = [
    candidates.filter(
      ({isEjected, isFull, endpoint}) =>
        !isEjected && !isFull && !endpoint.silent,
    ),
    candidates.filter(
      ({isEjected, endpoint}) => !isEjected && !endpoint.silent,
    ),
    candidates,
  ];
  const pool = pools.find(({length}) => length > 0) ?? [];
  const measure = ({dataCentre}: EndpointEntry, near: number, far: number) =>
    dataCentre === options.dataCentre
      ? 0
      : findRegion(dataCentre) === region
        ? near
        : far;
  const costs = pool.map(({endpoint, open, failureShare, waitMs, plan}) => ({
    endpoint,
    cost: service.engine
      ? plan.ms +
        waitMs * 0.3 +
        Math.max(0, waitMs + plan.ms - leftMs * 0.5) * 3 +
        open * 4 +
        measure(endpoint, 30, 120) +
        failureShare * 3_000 +
        random() * 10
      : open / Math.max(1, endpoint.slots) +
        measure(endpoint, 0.35, 0.9) +
        failureShare * 3 +
        random() * 0.02,
  }));
  return costs.sort((a, b) => a.cost - b.cost)[0]?.endpoint;
}

test('chooseEndpoint() chooses as before with factors of 1', () => {
  const {next, between} = createDraws(7);
  for (let round = 0; round < 5_000; round++) {
    const candidates = Array.from({length: between(0, 12)}, (_, index) =>
      createCandidate(`e${index}`, {
        dataCentre: ['a', 'b', 'far'][between(0, 2)]!,
        open: between(0, 14),
        isEjected: next() < 0.2,
        isFull: next() < 0.2,
        failureShare: next() < 0.7 ? 0 : next(),
        waitMs: next() < 0.5 ? 0 : next() * 2_000,
        plan: {uncachedTokens: 1, ms: next() * 800},
      }),
    );
    const seed = between(1, 1e9);
    const options = {
      service: round % 2 === 0 ? PLAIN : ENGINE,
      leftMs: next() * 4_000 - 500,
    };
    const before = createOptions(candidates, {
      ...options,
      random: createDraws(seed).next,
    });
    const now = createOptions(candidates, {
      ...options,
      random: createDraws(seed).next,
    });
    const expected = chooseWithoutSpeeds(before);
    assert.equal(chooseEndpoint(now)?.endpoint, expected);
    // Nothing else was drawn, so that later choices are the same as well.
    assert.equal(now.random(), before.random());
  }
});

test('chooseEndpoint() prefers a faster endpoint, and a slower one once that is busy', () => {
  const fast = {factor: 0.6, spread: 0};
  const slow = {factor: 1.6, spread: 0};
  const idle = createCandidate('slow', {time: slow});
  assert.equal(
    choose([idle, createCandidate('fast', {time: fast, open: 6})]),
    'fast',
  );
  assert.equal(
    choose([idle, createCandidate('fast', {time: fast, open: 30})]),
    'slow',
  );
});

test('chooseEndpoint() multiplies the wait and the prefill at engines', () => {
  const plan = {uncachedTokens: 1_000, ms: 200};
  const slow = createCandidate('slow', {time: {factor: 1.6, spread: 0}, plan});
  const queued = createCandidate('queued', {plan, waitMs: 80});
  const service = ENGINE;
  assert.equal(choose([slow, queued], {service}), 'queued');
  const long = createCandidate('queued', {plan, waitMs: 600});
  assert.equal(choose([slow, long], {service}), 'slow');
});

test('gateways do not all choose one endpoint by one uncertain reading', () => {
  const {next} = createDraws(3);
  const candidates = Array.from({length: 6}, (_, index) =>
    createCandidate(`e${index}`, {
      open: 3,
      time: {factor: index === 0 ? 0.9 : 1, spread: 0.15},
    }),
  );
  const chosen = Array.from({length: 79}, () =>
    choose(candidates, {random: next, weighsHops: true}),
  );
  const best = chosen.filter(id => id === 'e0').length;
  assert.ok(best > 79 / 6 && best < 79 * 0.6, `${best} of 79`);
  assert.equal(new Set(chosen).size, 6);
});

test('requests stay near while nobody waits there', () => {
  const near = createCandidate('near', {open: 6});
  const idle = createCandidate('idle', {dataCentre: 'b'});
  assert.equal(choose([near, idle]), 'idle');
  assert.equal(choose([near, idle], {weighsHops: true}), 'near');
});

test('requests spill over before callers wait, and no further than needed', () => {
  const weighsHops = true;
  const near = createCandidate('near', {open: 8});
  const next = createCandidate('next', {dataCentre: 'b', open: 2});
  const far = createCandidate('far', {dataCentre: 'far'});
  assert.equal(choose([near, next, far], {weighsHops}), 'next');
  const busy = createCandidate('next', {dataCentre: 'b', open: 9});
  assert.equal(choose([near, busy, far], {weighsHops}), 'near');
  const full = createCandidate('near', {open: 20});
  const fuller = createCandidate('next', {dataCentre: 'b', open: 20});
  assert.equal(choose([full, fuller, far], {weighsHops}), 'far');
});

test('requests leave a data centre whose endpoints fail or are slowed down', () => {
  const idle = createCandidate('idle', {dataCentre: 'b'});
  for (const change of [
    {failureShare: 0.5},
    {time: {factor: 2.5, spread: 0}},
    {isFull: true},
    {isEjected: true},
  ]) {
    const near = createCandidate('near', change);
    assert.equal(choose([near, idle], {weighsHops: true}), 'idle');
  }
});

test('a wait at an engine is worth a hop only if callers notice it', () => {
  const plan = {uncachedTokens: 1_000, ms: 60};
  const far = createCandidate('far', {dataCentre: 'b', plan});
  const options = {service: ENGINE, leftMs: 4_000, weighsHops: true};
  const short = createCandidate('near', {plan, waitMs: 200});
  assert.equal(choose([short, far], options), 'near');
  const long = createCandidate('near', {plan, waitMs: 600});
  assert.equal(choose([long, far], options), 'far');
});

test.run();
