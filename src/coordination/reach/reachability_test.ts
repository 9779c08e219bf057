/** Guards against a lost path that nothing tells from endpoints that fail. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {Reachability} from './reachability.ts';

const [FIRST, SECOND] = [createEndpoint('e1'), createEndpoint('e2')];

function createReachability(endpoints = [FIRST, SECOND]) {
  const clock = new SimulatedClock();
  const gauges: number[] = [];
  const reach = new Reachability({
    clock,
    logger: silentLogger,
    metrics: {...silentMetrics, gauge: (_name, value) => gauges.push(value)},
    listEndpoints: () => endpoints,
  });
  return {clock, reach, gauges};
}

test('isLost() is true once connections to all ready endpoints failed', async () => {
  const {clock, reach, gauges} = createReachability();
  reach.recordAnswer(FIRST);
  reach.recordAnswer(SECOND);
  await clock.advance(100);
  reach.recordFailure(FIRST);
  assert.equal(reach.isLost('app'), false);
  reach.recordFailure(SECOND);
  assert.equal(reach.isLost('app'), true);
  await clock.advance(100);
  reach.recordAnswer(FIRST);
  assert.equal(reach.isLost('app'), false);
  assert.deepEqual(gauges, [0, 1]);
});

test('isLost() does not count endpoints that are draining or silent', () => {
  const {reach} = createReachability([
    FIRST,
    createEndpoint('e3', {state: 'draining'}),
    createEndpoint('e4', {silent: true}),
  ]);
  reach.recordFailure(FIRST);
  assert.equal(reach.isLost('app'), true);
});

test('isLost() stays false for failures that are long ago', async () => {
  const {clock, reach} = createReachability();
  reach.recordFailure(FIRST);
  await clock.advance(60_000);
  reach.recordFailure(SECOND);
  assert.equal(reach.isLost('app'), false);
});

test.run();
