/** The pattern: the time of day jumps while a new version is rolled out. */
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

/** A steady clock beside a time of day that can be set. */
function createScene() {
  const steady = new SimulatedClock();
  const scene = {steady, stepMs: 0};
  const ages = new RolloutAges({
    now: () => steady.now() + scene.stepMs,
    monotonic: () => steady.monotonic(),
    sleep: (ms, signal) => steady.sleep(ms, signal),
  });
  return {scene, ages};
}

test('getAgeMs() keeps to the steady clock when the time of day jumps', async () => {
  const {scene, ages} = createScene();
  ages.observe([]);
  await scene.steady.advance(1_000);
  // The daemon that took the order had another time of day.
  scene.stepMs = -5_000;
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 0);
  await scene.steady.advance(3_000);
  scene.stepMs = 7_000;
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 3_000);
  scene.stepMs = -7_000;
  assert.equal(ages.getAgeMs(ROLLOUT), 3_000);
});

test('getAgeMs() goes by the time of day once after a restart', async () => {
  const {scene, ages} = createScene();
  await scene.steady.advance(9_000);
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 8_000);
  scene.stepMs = 60_000;
  await scene.steady.advance(500);
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 8_500);
});

test('getAgeMs() stays within the roll-out when the time of day makes no sense', async () => {
  const {scene, ages} = createScene();
  scene.stepMs = -90_000;
  ages.observe([ROLLOUT]);
  assert.equal(ages.getAgeMs(ROLLOUT), 0);
  const late = createScene();
  late.scene.stepMs = 900_000;
  late.ages.observe([ROLLOUT]);
  assert.equal(late.ages.getAgeMs(ROLLOUT), ROLLOUT.durationMs);
});

test.run();
