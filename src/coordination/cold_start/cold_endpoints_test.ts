/** Guards against cold starts that are forgotten, prolonged or ended by mistake. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {ColdEndpoints} from './cold_endpoints.ts';

const DURATION_MS = 3_000;

function createFixture() {
  const clock = new SimulatedClock();
  const turned: string[] = [];
  const cold = new ColdEndpoints({
    clock,
    logger: silentLogger,
    metrics: silentMetrics,
    findColdStart: service =>
      service === 'app' ? {durationMs: DURATION_MS, perSecond: 8.8} : null,
    onTurnedCold: ({id}) => turned.push(id),
  });
  return {clock, cold, turned};
}

test('record() keeps a start cold for the time that it reports', async () => {
  const {clock, cold, turned} = createFixture();
  const endpoint = createEndpoint('e1', {warmupMs: 2_000});
  cold.record(endpoint);
  await clock.advance(1_500);
  assert.equal(cold.getColdMs(endpoint), 500);
  assert.equal(cold.countCold(), 1);
  await clock.advance(500);
  assert.equal(cold.getColdMs(endpoint), 0);
  assert.equal(cold.countCold(), 0);
  // It had no requests before.
  assert.deepEqual(turned, []);
});

// Guards against core daemons that lag behind, and whole lists after a move.
test('record() does not prolong a cold start by an old report', async () => {
  const {clock, cold} = createFixture();
  const endpoint = createEndpoint('e1', {sequence: 5, warmupMs: 3_000});
  cold.record(endpoint);
  await clock.advance(2_000);
  cold.record(endpoint);
  cold.record({...endpoint, sequence: 4});
  assert.equal(cold.getColdMs(endpoint), 1_000);
  cold.record({...endpoint, sequence: 4, warmupMs: 0});
  assert.equal(cold.getColdMs(endpoint), 1_000);
  cold.record({...endpoint, sequence: 6, warmupMs: 0});
  assert.equal(cold.getColdMs(endpoint), 0);
});

test('record() tells one start from another', () => {
  const {cold, turned} = createFixture();
  const first = createEndpoint('e1');
  const second = createEndpoint('e1', {startedAtMs: 2, warmupMs: 3_000});
  cold.record(first);
  cold.record(second);
  assert.equal(cold.getColdMs(second), 3_000);
  assert.equal(cold.getColdMs(first), 0);
  cold.record({...first, sequence: 90, warmupMs: 500});
  assert.equal(cold.getColdMs(second), 3_000);
  assert.deepEqual(turned, []);
});

test('record() notifies when a warm endpoint turns cold', () => {
  const {cold, turned} = createFixture();
  const endpoint = createEndpoint('e1');
  cold.record(endpoint);
  cold.record({...endpoint, sequence: 2, warmupMs: 3_000});
  cold.record({...endpoint, sequence: 3, warmupMs: 2_900});
  assert.deepEqual(turned, ['e1']);
});

// Guards against a crash of an endpoint that was cold again after a silence.
test('record() takes an unconfirmed endpoint for cold until a later report', async () => {
  const {clock, cold} = createFixture();
  const endpoint = createEndpoint('e1', {silent: true});
  cold.record(endpoint);
  cold.record({...endpoint, sequence: 2, silent: false, unconfirmed: true});
  assert.equal(cold.getColdMs(endpoint), DURATION_MS);
  await clock.advance(1_000);
  // Another list with the same report.
  cold.record({...endpoint, sequence: 2, silent: false});
  assert.equal(cold.getColdMs(endpoint), DURATION_MS - 1_000);
  cold.record({...endpoint, sequence: 3, silent: false});
  assert.equal(cold.getColdMs(endpoint), 0);
});

test('treatAsCold() holds until a later report or the end of the time', async () => {
  const {clock, cold, turned} = createFixture();
  const [one, two] = [
    createEndpoint('e1', {sequence: 7}),
    createEndpoint('e2', {sequence: 7}),
  ];
  cold.record(one);
  cold.record(two);
  cold.treatAsCold([one, two], DURATION_MS);
  assert.deepEqual(turned, ['e1', 'e2']);
  cold.record(one);
  assert.equal(cold.getColdMs(one), DURATION_MS);
  cold.record({...one, sequence: 8});
  assert.equal(cold.getColdMs(one), 0);
  await clock.advance(DURATION_MS);
  assert.equal(cold.getColdMs(two), 0);
});

test('treatAsCold() does not shorten a reported cold start', () => {
  const {cold} = createFixture();
  const endpoint = createEndpoint('e1', {warmupMs: 5_000});
  cold.record(endpoint);
  cold.treatAsCold([endpoint], 3_000);
  assert.equal(cold.getColdMs(endpoint), 5_000);
});

// Guards against endpoints of a data centre that is in use again and may be cold.
test('record() takes an endpoint for cold that the core marks without a report', async () => {
  const {clock, cold} = createFixture();
  const endpoint = createEndpoint('e1', {sequence: 4});
  cold.record(endpoint);
  cold.record({...endpoint, unconfirmed: true});
  assert.equal(cold.getColdMs(endpoint), DURATION_MS);
  await clock.advance(1_000);
  cold.record({...endpoint, unconfirmed: true});
  assert.equal(cold.getColdMs(endpoint), DURATION_MS - 1_000);
  cold.record({...endpoint, sequence: 5});
  assert.equal(cold.getColdMs(endpoint), 0);
});

test.run();
