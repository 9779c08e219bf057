/**
 * Guards against gateways that hold units without requests, and against lists that
 * are sent again and again.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {OwnDemand} from './own_demand.ts';

test('OwnDemand tells that a gateway has no requests, and when it has again', async () => {
  const clock = new SimulatedClock();
  const demand = new OwnDemand(clock);
  demand.record();
  await clock.advance(10_000);
  assert.equal(demand.isToldIdle, false);
  await clock.advance(20_000);
  assert.equal(demand.isToldIdle, true);
  for (let count = 0; count < 10; count++) demand.record();
  assert.equal(demand.isToldIdle, true);
  await clock.advance(10_000);
  assert.equal(demand.isToldIdle, false);
  // The others do not know yet.
  assert.equal(demand.mayCountIdle, true);
  await clock.advance(6_000);
  assert.equal(demand.mayCountIdle, false);
});

test('OwnDemand does not change with few requests', async () => {
  const clock = new SimulatedClock();
  const demand = new OwnDemand(clock);
  let changes = 0;
  let last = demand.isToldIdle;
  for (let second = 0; second < 300; second += 7) {
    demand.record();
    await clock.advance(7_000);
    if (demand.isToldIdle !== last) changes++;
    last = demand.isToldIdle;
  }
  assert.ok(changes <= 1, `${changes} changes`);
});

test.run();
