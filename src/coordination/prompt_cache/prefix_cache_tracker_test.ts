import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {PrefixCacheTracker} from './prefix_cache_tracker.ts';

const ENDPOINT = createEndpoint('e1');

test('has() distinguishes prefixes by endpoint, start and model', () => {
  const tracker = new PrefixCacheTracker(new SimulatedClock());
  tracker.record(ENDPOINT, 'large', 's1');
  assert.ok(tracker.has(ENDPOINT, 'large', 's1'));
  assert.ok(!tracker.has(ENDPOINT, 'small', 's1'));
  assert.ok(!tracker.has(ENDPOINT, 'large', 's2'));
  assert.ok(!tracker.has({...ENDPOINT, startedAtMs: 2}, 'large', 's1'));
});

test('has() expires prefixes that were not requested for a while', async () => {
  const clock = new SimulatedClock();
  const tracker = new PrefixCacheTracker(clock);
  tracker.record(ENDPOINT, 'large', 's1');
  await clock.advance(15_000);
  tracker.record(ENDPOINT, 'large', 's1');
  await clock.advance(15_000);
  assert.ok(tracker.has(ENDPOINT, 'large', 's1'));
  await clock.advance(10_000);
  assert.ok(!tracker.has(ENDPOINT, 'large', 's1'));
});

test('record() evicts the least recent prefixes at the limit', () => {
  const tracker = new PrefixCacheTracker(new SimulatedClock());
  for (let prefix = 0; prefix < 20_000; prefix++) {
    tracker.record(ENDPOINT, 'large', `s${prefix}`);
  }
  assert.ok(tracker.has(ENDPOINT, 'large', 's19999'));
  assert.ok(!tracker.has(ENDPOINT, 'large', 's0'));
});

test.run();
