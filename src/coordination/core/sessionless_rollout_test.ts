/**
 * Guards against versions that fail under load where no request belongs to a
 * session: what they got in the first half leaves little for a high load.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {simulateRollout} from './simulated_rollout.ts';

const SEEDS = 300;

test('a version that fails under load is not completed without sessions', () => {
  const found: string[] = [];
  for (const perSecond of [10, 15, 20]) {
    let completed = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
      const {state} = simulateRollout({
        seed,
        perSecond,
        durationMs: 24_000,
        hasSessions: false,
        failureShare: 0.02,
        underLoad: {failureShare: 0.5, fromLoad: 0.6},
      });
      if (state === 'complete') completed++;
    }
    if (completed > SEEDS / 100) found.push(`${completed} (${perSecond}/s)`);
  }
  assert.deepEqual(found, []);
});

test.run();
