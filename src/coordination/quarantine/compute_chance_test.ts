import assert from 'node:assert/strict';
import {test} from 'uvu';
import {computeChance} from './compute_chance.ts';

test('computeChance() is close to Poisson at a rate that is well known', () => {
  const chance = computeChance(
    {events: 1e6, inMs: 1e9},
    {count: 3, withinMs: 1_000},
  );
  const poisson = 1 - 2.5 * Math.exp(-1);
  assert.ok(Math.abs(chance - poisson) < 1e-5, `${chance}`);
});

test('computeChance() is higher at a rate that is estimated from few events', () => {
  const span = {count: 3, withinMs: 100};
  const known = computeChance({events: 1_000, inMs: 1_000_000}, span);
  const uncertain = computeChance({events: 0.5, inMs: 500}, span);
  assert.ok(uncertain > 5 * known, `${uncertain} ${known}`);
  assert.equal(computeChance({events: 1, inMs: 1}, {count: 3, withinMs: 0}), 0);
});

test.run();
