import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createRetryBudget} from './retry_budget.ts';

test('tryTake() grants the share of the first attempts', () => {
  const budget = createRetryBudget({ratio: 0.5, capacity: 2});
  assert.deepEqual(
    [budget.tryTake(), budget.tryTake(), budget.tryTake()],
    [true, true, false],
  );
  budget.deposit();
  assert.equal(budget.tryTake(), false);
  budget.deposit();
  assert.equal(budget.tryTake(), true);
});

test('deposit() never exceeds the capacity', () => {
  const budget = createRetryBudget({ratio: 1, capacity: 1});
  for (let count = 0; count < 5; count++) budget.deposit();
  assert.deepEqual([budget.tryTake(), budget.tryTake()], [true, false]);
});

test.run();
