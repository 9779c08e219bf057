/**
 * Guards against gateways that miss a limit, because observations of several
 * gateways reach a core daemon late and in any order.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointLimit} from '../../protocol/core_service.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {EndpointLimitTable} from './endpoint_limit_table.ts';

function createLimit(
  perSecond: number | null,
  ageMs: number,
  startedAtMs = 1,
): EndpointLimit {
  return {id: 'e1', startedAtMs, perSecond, ageMs};
}

const listValues = (table: EndpointLimitTable, after?: number) =>
  table.list(after).map(({perSecond}) => perSecond);

test('merge() keeps the latest observation', () => {
  const table = new EndpointLimitTable({clock: new SimulatedClock()});
  table.merge([createLimit(2, 100)], 1_000);
  table.merge([createLimit(5, 600)], 1_000);
  table.merge([createLimit(null, 300)], 1_100);
  assert.deepEqual(listValues(table), [2]);
  table.merge([createLimit(null, 0)], 1_100);
  assert.deepEqual(listValues(table), [null]);
  table.merge([createLimit(4, 0, 2)], 900);
  table.merge([createLimit(1, 0, 1)], 2_000);
  assert.deepEqual(listValues(table), [4]);
});

test('merge() reports a new or lower limit as urgent, nothing else', () => {
  const table = new EndpointLimitTable({clock: new SimulatedClock()});
  assert.equal(table.merge([createLimit(4, 0)], 0), true);
  assert.equal(table.merge([createLimit(4, 0)], 100), false);
  assert.equal(table.merge([createLimit(3.8, 0)], 200), false);
  assert.equal(table.merge([createLimit(2, 0)], 300), true);
  assert.equal(table.merge([createLimit(null, 0)], 400), false);
});

test('list() holds what changed after a revision', () => {
  const table = new EndpointLimitTable({clock: new SimulatedClock()});
  table.merge([createLimit(4, 0)], 0);
  const {revision} = table;
  table.merge([createLimit(4, 0)], 100);
  assert.deepEqual(listValues(table, revision), []);
  table.merge([createLimit(6, 0)], 200);
  assert.deepEqual(listValues(table, revision), [6]);
});

test('merge() repeats a limit that a gateway believes to have ended', () => {
  const table = new EndpointLimitTable({clock: new SimulatedClock()});
  table.merge([createLimit(4, 0)], 500);
  const {revision} = table;
  table.merge([createLimit(null, 100)], 500);
  assert.deepEqual(listValues(table, revision), [4]);
});

// Guards against gateways that keep a limit for good: those without a share send
// the endpoint nothing, and one that heard of the limit late takes its end for old.
test('merge() repeats the end of a limit a few times', () => {
  const table = new EndpointLimitTable({clock: new SimulatedClock()});
  table.merge([createLimit(4, 0)], 0);
  const revisions = new Set<number>();
  for (let ms = 100; ms < 60_000; ms += 200) {
    table.merge([createLimit(null, 0)], ms);
    revisions.add(table.revision);
  }
  assert.equal(revisions.size, 4);
});

test('pruneEnded() drops limits of earlier starts and of lost endpoints', async () => {
  const clock = new SimulatedClock();
  const table = new EndpointLimitTable({clock});
  table.merge([createLimit(4, 0)], 0);
  table.pruneEnded(() => createEndpoint('e1'));
  table.pruneEnded(() => null);
  assert.deepEqual(listValues(table), [4]);
  table.pruneEnded(() => createEndpoint('e1', {startedAtMs: 2}));
  assert.deepEqual(listValues(table), []);
  table.merge([createLimit(4, 0)], 0);
  await clock.advance(61_000);
  table.pruneEnded(() => null);
  assert.deepEqual(listValues(table), []);
});

test.run();
