import assert from 'node:assert/strict';
import {test} from 'uvu';
import {computeUpperTail} from './binomial.ts';

test('computeUpperTail() sums the probabilities of a count and above', () => {
  const half = computeUpperTail({count: 2, trials: 3, share: 0.5});
  assert.ok(Math.abs(half - 0.5) < 1e-12);
  assert.equal(computeUpperTail({count: 0, trials: 3, share: 0.5}), 1);
  assert.equal(computeUpperTail({count: 1, trials: 3, share: 0}), 0);
  const all = computeUpperTail({count: 3, trials: 3, share: 0.5});
  assert.ok(Math.abs(all - 0.125) < 1e-12);
});

test('computeUpperTail() holds for thousands of trials', () => {
  const middle = computeUpperTail({count: 1_000, trials: 20_000, share: 0.05});
  assert.ok(middle > 0.45 && middle < 0.55, String(middle));
});

test.run();
