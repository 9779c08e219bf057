/**
 * Guards against versions of which only a part of the answers is slower: the
 * rest is as fast as the old version's.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {simulateRollout} from './simulated_rollout.ts';

const SEEDS = 300;

test('a version of which a part of the answers is slower is not completed', () => {
  const found: string[] = [];
  for (const perSecond of [25, 45]) {
    for (const load of [1, 3]) {
      for (const slowShare of [0.3, 0.5]) {
        for (const slowness of [2, 4, 8]) {
          let completed = 0;
          for (let seed = 1; seed <= SEEDS; seed++) {
            const {state} = simulateRollout({
              seed,
              perSecond,
              durationMs: 16_000,
              load,
              slowness,
              slowShare,
            });
            if (state === 'complete') completed++;
          }
          if (completed <= SEEDS / 300) continue;
          found.push(
            `${completed} (${perSecond}/s, load ${load}, ${slowShare} x ${slowness})`,
          );
        }
      }
    }
  }
  assert.deepEqual(found, []);
});

test.run();
