/**
 * Guards against versions that get more requests than a new version may get,
 * because their answers fail only under load or seldom, at the rates of a small
 * service with and without sessions.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  EXPOSURE_LIMIT,
  simulateRollout,
  type SimulatedRolloutOptions,
} from './simulated_rollout.ts';

const SEEDS = Number(process.env.LOADED_ROLLOUT_SEEDS ?? 300);
const FIRST_SEED = Number(process.env.LOADED_ROLLOUT_FROM ?? 1);

const RATES = [10, 15, 20];

/** The share of answers that fail with any version. */
const FAILURE_SHARE = 0.02;

const BAD_VERSIONS = [
  {failureShare: 0.2, fromLoad: 0.3},
  {failureShare: 0.2, fromLoad: 0.6},
  {failureShare: 0.5, fromLoad: 0.3},
  {failureShare: 0.5, fromLoad: 0.6},
  {failureShare: 0.12, fromLoad: 0},
];

function playRollouts(options: Omit<SimulatedRolloutOptions, 'seed'>) {
  let completed = 0;
  let overexposed = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const {state, targetRequests, requests} = simulateRollout({
      ...options,
      seed,
      failureShare: FAILURE_SHARE,
    });
    if (state === 'complete') completed++;
    const allowed = EXPOSURE_LIMIT.share * requests + EXPOSURE_LIMIT.extra;
    if (targetRequests > allowed) overexposed++;
  }
  return {completed, overexposed};
}

/** Plays all rates, with and without sessions. */
function playRates(options: Partial<SimulatedRolloutOptions>) {
  return [true, false].flatMap(hasSessions =>
    RATES.map(perSecond => ({
      hasSessions,
      where: `${perSecond}/s, ${hasSessions ? 'sessions' : 'no sessions'}`,
      ...playRollouts({
        ...options,
        hasSessions,
        perSecond,
        durationMs: 24_000,
      }),
    })),
  );
}

// Guards against a bad version that is not found, is completed and gets more
// requests in its time than a new version may get.
test('a version that is not found to be bad keeps to its limit', () => {
  const found = BAD_VERSIONS.flatMap(underLoad =>
    playRates({underLoad})
      .filter(({overexposed}) => overexposed > SEEDS / 100)
      .map(
        ({where, overexposed}) =>
          `${overexposed} over: ${where}, ${JSON.stringify(underLoad)}`,
      ),
  );
  assert.deepEqual(found, []);
});

// Guards against a version that is completed since it is at its full load only
// then: at few endpoints it is at that load before.
test('a version half of whose answers fail under load is not completed', () => {
  const found = [0.3, 0.6].flatMap(fromLoad =>
    playRates({underLoad: {failureShare: 0.5, fromLoad}})
      // Without sessions the first half leaves no share for a higher load.
      .filter(({hasSessions}) => hasSessions || fromLoad < 0.6)
      .filter(({completed}) => completed > SEEDS / 100)
      .map(
        ({where, completed}) => `${completed} completed: ${where}, ${fromLoad}`,
      ),
  );
  assert.deepEqual(found, []);
});

// Guards against a good version that is not completed since its limit is kept.
test('a good version is completed within its limit', () => {
  const found = playRates({})
    .filter(({completed}) => completed < SEEDS * 0.97)
    .map(({where, completed}) => `${completed} completed: ${where}`);
  assert.deepEqual(found, []);
});

test.run();
