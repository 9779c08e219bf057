/** Guards against wrong roll-out ages when a host's wall clock jumps. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {ServiceRollout} from '../../protocol/core_service.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {RolloutAges} from './rollout_ages.ts';

const ROLLOUT: ServiceRollout = {
  service: 'app',
  target: 'v2',
  state: 'running',
  stable: 'v1',
  rejected: [],
  share: 0.1,
  movesSessions: false,
  beganAtMs: 1_000,
  durationMs: 24_000,
};

/** Creates ages on a monotonic clock and a wall clock that can be stepped. */
function createFixture() {
  const monotonicClock = new SimulatedClock();
  const clocks = {monotonicClock, stepMs: 0};
  const ages = new RolloutAges({
    now: () => monotonicClock.now() + clocks.stepMs,
    monotonic: () => monotonicClock.monotonic(),
    sleep: (ms, signal) => monotonicClock.sleep(ms, signal),
  });
  return {clocks, ages};
}

test('getAgeMs() follows the monotonic clock when the wall clock jumps', async () => {
  const {clocks, ages} = createFixture();
  ages.observe([]);
  await clocks.monotonicClock.advance(1_000);
  // The wall clock of the daemon that began the roll-out differs.
  clocks.stepMs = -5_000;
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 0);
  await clocks.monotonicClock.advance(3_000);
  clocks.stepMs = 7_000;
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 3_000);
  clocks.stepMs = -7_000;
  assert.equal(ages.getAgeMs(ROLLOUT), 3_000);
});

test('getAgeMs() uses the wall clock once after a restart', async () => {
  const {clocks, ages} = createFixture();
  await clocks.monotonicClock.advance(9_000);
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 8_000);
  clocks.stepMs = 60_000;
  await clocks.monotonicClock.advance(500);
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 8_500);
});

test('getAgeMs() stays within the duration when the wall clock is wrong', async () => {
  const {clocks, ages} = createFixture();
  clocks.stepMs = -90_000;
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 0);
  const late = createFixture();
  late.clocks.stepMs = 900_000;
  late.ages.observe([ROLLOUT]);
  assert.equal(late.ages.getAgeMs(ROLLOUT), ROLLOUT.durationMs);
});

test.run();
