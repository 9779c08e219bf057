/**
 * Guards against a gateway that sends a cold endpoint more than its units in some
 * second, and against limits where none are asked for.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import type {ColdStart} from '../../protocol/route_table.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {RecentGateways} from '../forwarding/recent_gateways.ts';
import {ColdStartRule, type ColdBounds} from './cold_start_rule.ts';

const ENDPOINT = createEndpoint('e1');
const BOUNDS: ColdBounds = {excess: 1.5, extra: 5};
const COLD_START: ColdStart = {durationMs: 3_000, perSecond: 8.8};

interface FixtureOptions {
  /** `null` without the settings; those of the page by default. */
  readonly bounds?: ColdBounds | null;
  /** `null` for services that are never cold; as on the page by default. */
  readonly coldStart?: ColdStart | null;
  /** Gateways in the data centre of the endpoint; 1 by default. */
  readonly count?: number;
  readonly address?: string;
}

function createFixture({
  bounds = BOUNDS,
  coldStart = COLD_START,
  count = 1,
  address = 'g0',
}: FixtureOptions = {}) {
  const clock = new SimulatedClock();
  const state = {coldMs: 3_000, isHeld: true, isResuming: false};
  const listed: Gateway[] = Array.from({length: count}, (_, index) => ({
    address: `g${index}`,
    region: 'r',
    dataCentre: 'a',
    open: true,
  }));
  const rule = new ColdStartRule({
    clock,
    metrics: silentMetrics,
    random: () => 0.5,
    bounds,
    address,
    gateways: new RecentGateways({clock, listGateways: () => listed}),
    demand: {mayCountIdle: false},
    lease: {isHeld: () => state.isHeld, isResuming: () => state.isResuming},
    cold: {getColdMs: () => state.coldMs},
    findColdStart: () => coldStart,
    findRegion: () => 'r',
  });
  const takeAll = () => {
    let taken = 0;
    while (taken < 100 && rule.tryTake(ENDPOINT, 'first')) taken++;
    return taken;
  };
  return {clock, rule, state, takeAll};
}

test('tryTake() lets a gateway alone use the bound in each second', async () => {
  const {clock, rule} = createFixture();
  const times: number[] = [];
  for (let ms = 0; ms < 10_000; ms += 10) {
    if (rule.tryTake(ENDPOINT, 'first')) times.push(ms);
    await clock.advance(10);
  }
  for (const from of times) {
    const count = times.filter(at => at >= from && at < from + 1_000).length;
    assert.ok(count <= 18, `${count} from ${from} ms on`);
  }
  assert.ok(times.length > 18.2 * 10 * 0.8, `${times.length} in 10 s`);
});

test('tryTake() divides the bound among gateways', () => {
  let sum = 0;
  for (let index = 0; index < 79; index++) {
    sum += createFixture({count: 79, address: `g${index}`}).takeAll();
  }
  assert.equal(sum, 17);
});

// Guards against a burst on top of what was sent before the endpoint turned cold.
test('tryTake() counts requests from before the cold start', () => {
  const {rule, state, takeAll} = createFixture();
  state.coldMs = 0;
  for (let count = 0; count < 12; count++) rule.tryTake(ENDPOINT, 'first');
  state.coldMs = 3_000;
  assert.equal(takeAll(), 5);
});

test('spreadUnits() lets the units return evenly over a window', async () => {
  const {clock, rule, takeAll} = createFixture();
  rule.spreadUnits(ENDPOINT);
  assert.equal(takeAll(), 0);
  const taken: number[] = [];
  for (let tenth = 0; tenth < 10; tenth++) {
    await clock.advance(100);
    taken.push(takeAll());
  }
  assert.ok(Math.max(...taken) <= 2, taken.join(' '));
  assert.ok(taken.reduce((sum, each) => sum + each, 0) >= 16);
});

test('hasRoom() needs the lease', () => {
  const {rule, state} = createFixture();
  assert.equal(rule.hasRoom(ENDPOINT), true);
  state.isHeld = false;
  assert.equal(rule.hasRoom(ENDPOINT), false);
  assert.equal(rule.getWaitMs(ENDPOINT), Infinity);
  state.coldMs = 0;
  assert.equal(rule.hasRoom(ENDPOINT), true);
});

// Guards against requests that are limited to endpoints of other deployments.
test('tryTake() limits nothing without the settings or a cold start', () => {
  assert.equal(createFixture({bounds: null}).takeAll(), 100);
  assert.equal(createFixture({coldStart: null}).takeAll(), 100);
});

test('tryTake() keeps a bound below one request a second', async () => {
  const {clock, takeAll} = createFixture({
    bounds: {excess: 1, extra: 0},
    coldStart: {durationMs: 60_000, perSecond: 0.5},
  });
  let taken = 0;
  for (let second = 0; second < 20; second++) {
    taken += takeAll();
    await clock.advance(1_000);
  }
  assert.ok(taken >= 7 && taken <= 10, `${taken} in 20 s`);
});

// Guards against all that waited for a frozen process at one endpoint at once.
test('tryTake() lets few requests through after a freeze', () => {
  const {state, takeAll} = createFixture();
  state.coldMs = 0;
  state.isResuming = true;
  assert.equal(takeAll(), 1);
  state.isResuming = false;
  assert.equal(takeAll(), 100);
});

test('getWaitMs() tells when a unit returns', async () => {
  const {clock, rule, takeAll} = createFixture();
  takeAll();
  await clock.advance(900);
  assert.equal(rule.getWaitMs(ENDPOINT), 150);
  await clock.advance(150);
  assert.equal(rule.getWaitMs(ENDPOINT), 0);
});

// Guards against callers that return together, or later than the endpoint is warm.
test('planReturnMs() spreads callers until the endpoint is warm', () => {
  const {rule} = createFixture({count: 20, address: 'g1'});
  const returns = Array.from({length: 10}, () =>
    rule.planReturnMs('app', [ENDPOINT]),
  );
  const times = returns.map(ms => ms ?? NaN);
  assert.ok(times.every(ms => ms > 0 && ms <= 3_500));
  assert.ok(new Set(times).size >= 3);
  assert.equal(
    createFixture({bounds: null}).rule.planReturnMs('app', []),
    null,
  );
});

test.run();
