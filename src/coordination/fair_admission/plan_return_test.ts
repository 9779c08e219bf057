/**
 * Guards against callers that come back together, too late for their deadline, or
 * before there is room.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {planReturnMs} from './plan_return.ts';

function planRange(waitMs: number, leftMs: number, servedShare = 1) {
  return [0, 1].map(draw =>
    planReturnMs({waitMs, leftMs, servedShare, random: () => draw}),
  );
}

test('a caller returns when room is expected, spread over as long again', () => {
  assert.deepEqual(planRange(1_000, 60_000), [1_000, 2_000]);
});

test('room takes longer if few of such requests are served', () => {
  assert.deepEqual(planRange(1_000, 60_000, 0.5), [2_000, 4_000]);
});

test('a caller waits for at most a third of its time, and not with all others', () => {
  assert.deepEqual(planRange(5_000, 600), [100, 200]);
  assert.deepEqual(planRange(5_000, -10), [0, 0]);
});

test.run();
