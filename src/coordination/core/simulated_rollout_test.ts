/**
 * Guards against slow versions that are completed because their time ran out,
 * and against good ones that are withdrawn by chance. Answers for the load of a
 * roll-out in which all requests belong to sessions, quiet and in a burst.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  simulateRollout,
  type SimulatedRolloutOptions,
} from './simulated_rollout.ts';

const SEEDS = 300;

/** The share of all requests in its time that a bad version may get. */
const EXPOSED_SHARE = 0.15;

/** The requests that it may get beyond that share. */
const EXPOSED_EXTRA = 30;

/** A model service of the smaller deployments, quiet and in a burst. */
const LOADS = [
  {perSecond: 25, durationMs: 16_000, load: 1},
  {perSecond: 25, durationMs: 16_000, load: 3},
  {perSecond: 45, durationMs: 16_000, load: 1},
  {perSecond: 45, durationMs: 16_000, load: 3},
];

function playRollouts(options: Omit<SimulatedRolloutOptions, 'seed'>) {
  const results = Array.from({length: SEEDS}, (_, index) =>
    simulateRollout({...options, seed: index + 1}),
  );
  const count = (state: string) =>
    results.filter(each => each.state === state).length;
  const allowed =
    (EXPOSED_SHARE * options.perSecond * options.durationMs) / 1_000 +
    EXPOSED_EXTRA;
  return {
    completed: count('complete'),
    reverted: count('reverted'),
    overexposed: results.filter(each => each.targetRequests > allowed).length,
  };
}

test('a version with engines 2 to 8 times slower is not completed', () => {
  for (const load of LOADS) {
    for (const slowness of [2, 3, 8]) {
      const {completed, overexposed} = playRollouts({...load, slowness});
      const where = JSON.stringify({...load, slowness});
      assert.ok(completed <= SEEDS / 300, `${completed} completed: ${where}`);
      assert.ok(overexposed <= SEEDS / 300, `${overexposed} over: ${where}`);
    }
  }
});

test('a good version with cold caches is completed in time', () => {
  for (const load of LOADS) {
    const {completed} = playRollouts(load);
    const where = JSON.stringify(load);
    assert.ok(completed >= SEEDS * 0.99, `${completed} completed: ${where}`);
  }
});

test.run();
