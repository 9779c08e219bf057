/** Guards against waiting in queues that hides how slow a version is. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {VersionPace} from '../../protocol/core_service.ts';
import {comparePaces} from './compare_paces.ts';

const ROLLOUT = {service: 'model', target: 'v2'};

function createPace(
  version: string,
  counts: number[],
  change: Partial<VersionPace> = {},
): VersionPace {
  return {
    service: 'model',
    version,
    kind: 'small',
    movesSessions: true,
    counts,
    ...change,
  };
}

test('comparePaces() finds a version without any fast answers', () => {
  const {answers, fast} = comparePaces(
    [createPace('v1', [25, 25, 25, 25]), createPace('v2', [0, 20, 10, 10])],
    ROLLOUT,
  );
  assert.equal(answers, 40);
  assert.deepEqual([fast.count, fast.expected], [0, 10]);
  assert.ok(fast.deviation < -3);
});

test('comparePaces() finds a version of which some answers are slow', () => {
  const {slow} = comparePaces(
    [createPace('v1', [40, 40, 15, 5]), createPace('v2', [16, 14, 0, 20])],
    ROLLOUT,
  );
  assert.ok(slow.deviation > 4, String(slow.deviation));
});

test('comparePaces() compares each model over the same time', () => {
  // Before sessions moved, the old version had no queues.
  const before = {movesSessions: false};
  const {answers, fast} = comparePaces(
    [
      createPace('v1', [100, 0, 0, 0], before),
      createPace('v1', [5, 5, 5, 5]),
      createPace('v2', [5, 5, 5, 5]),
      createPace('v2', [0, 0, 0, 9], {kind: 'unknown to v1'}),
    ],
    ROLLOUT,
  );
  assert.equal(answers, 20);
  assert.deepEqual([fast.count, fast.expected, fast.deviation], [5, 5, 0]);
});

test('comparePaces() compares nothing without answers of the old version', () => {
  const {answers, fast} = comparePaces(
    [createPace('v1', [2, 0]), createPace('v2', [0, 40])],
    ROLLOUT,
  );
  assert.deepEqual([answers, fast.deviation], [0, 0]);
});

test.run();
