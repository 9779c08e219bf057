/**
 * Guards against speeds of another start or service, and against any effect
 * where endpoints are all alike.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {EndpointSpeeds} from './endpoint_speeds.ts';

const ENDPOINT = createEndpoint('e1');
const LOAD = {running: 1, waiting: 0, slots: 4};
const USUAL = {...LOAD, workPercent: 100};
const SLOW_ANSWER = {
  ms: 160,
  expectedMs: 100,
  route: 'app\nr1',
  hasWaited: false,
};

function learnSlow(speeds: EndpointSpeeds, load: typeof LOAD): void {
  for (let answer = 0; answer < 40; answer++) {
    speeds.recordLoad(ENDPOINT, load, 1);
    speeds.recordBegin(ENDPOINT, SLOW_ANSWER);
  }
}

test('endpoints that report no work time keep the usual speed', () => {
  const speeds = new EndpointSpeeds(new SimulatedClock());
  learnSlow(speeds, LOAD);
  assert.equal(speeds.isReported('app'), false);
  assert.deepEqual(speeds.estimate(ENDPOINT, 100), {factor: 1, spread: 0});
  assert.equal(speeds.estimateOpen(ENDPOINT, {own: 1, others: 2}), 3);
});

test('a slow endpoint is learned, for this start of it only', () => {
  const speeds = new EndpointSpeeds(new SimulatedClock());
  learnSlow(speeds, USUAL);
  assert.ok(speeds.estimate(ENDPOINT, 100).factor > 1.4);
  const restarted = createEndpoint('e1', {startedAtMs: 2});
  assert.equal(speeds.estimate(restarted, 100).factor, 1);
  speeds.pruneEnded(() => restarted);
  assert.equal(speeds.estimate(ENDPOINT, 100).factor, 1);
});

test('answers that waited in a queue say nothing of the speed', () => {
  const speeds = new EndpointSpeeds(new SimulatedClock());
  for (let answer = 0; answer < 40; answer++) {
    speeds.recordLoad(ENDPOINT, USUAL, 1);
    speeds.recordBegin(ENDPOINT, {...SLOW_ANSWER, hasWaited: true});
  }
  assert.equal(speeds.estimate(ENDPOINT, 100).factor, 1);
});

test('slowness by neighbours, as reported, is not learned', async () => {
  const clock = new SimulatedClock();
  const speeds = new EndpointSpeeds(clock);
  for (let answer = 0; answer < 60; answer++) {
    const isSlowed = answer % 4 === 0;
    speeds.recordLoad(
      ENDPOINT,
      {...LOAD, workPercent: isSlowed ? 250 : 100},
      1,
    );
    const ms = isSlowed ? 50 : 20;
    speeds.recordBegin(ENDPOINT, {...SLOW_ANSWER, ms, expectedMs: 20});
    await clock.advance(1_000);
  }
  await clock.advance(5_000);
  const {factor} = speeds.estimate(ENDPOINT, 20);
  assert.ok(Math.abs(factor - 1) < 0.06, `${factor}`);
});

test('endpoints of plain services are compared with the usual time of a route', () => {
  const speeds = new EndpointSpeeds(new SimulatedClock());
  const endpoints = [0.6, 1, 1, 1.6].map((factor, index) => ({
    factor,
    endpoint: createEndpoint(`e${index}`),
  }));
  for (let answer = 0; answer < 60; answer++) {
    for (const {endpoint, factor} of endpoints) {
      for (const [route, usualMs] of [
        ['short', 10],
        ['long', 300],
      ] as const) {
        const ms = usualMs * factor;
        speeds.recordLoad(endpoint, USUAL, 1);
        speeds.recordBegin(endpoint, {
          ms,
          route,
          expectedMs: null,
          hasWaited: false,
        });
      }
    }
  }
  const [fast, usual, , slow] = endpoints.map(
    ({endpoint}) => speeds.estimate(endpoint, 0).factor,
  );
  assert.ok(slow! / fast! > 2, `${slow}, ${fast}`);
  assert.ok(fast! < usual! && usual! < slow!);
});

test.run();
