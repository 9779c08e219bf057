/** Covers the load that the budget is for: many gateways with few requests. */
import assert from 'node:assert/strict';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createWindowBudget, type WindowBudget} from './window_budget.ts';

const GATEWAYS = 87;
const WINDOW_MS = 10_000;
const RATIO = 0.9;
const EXTRA = 214;

/** The duration of the load, and the interval of requests over all gateways. */
const LOAD_MS = 30_000;
const INTERVAL_MS = 3;

/** Sends requests to random gateways; `share` of them need a second attempt. */
async function simulateLoad(share: number, seed: number) {
  const clock = new SimulatedClock();
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const budgets = Array.from({length: GATEWAYS}, (): WindowBudget =>
    createWindowBudget({
      clock,
      windowMs: WINDOW_MS,
      ratio: RATIO * 0.85,
      getExtra: () => (EXTRA * 0.85) / GATEWAYS,
    }),
  );
  const requests: number[] = [];
  const taken: number[] = [];
  let wanted = 0;
  for (let now = 0; now < LOAD_MS; now += INTERVAL_MS) {
    const budget = budgets[Math.floor(draw() * GATEWAYS)] as WindowBudget;
    budget.deposit();
    requests.push(now);
    if (draw() < share) {
      wanted++;
      if (budget.tryTake(1)) taken.push(now);
    }
    await clock.advance(INTERVAL_MS);
  }
  return {requests, taken, wanted};
}

function countIn(times: readonly number[], from: number): number {
  return times.filter(each => each >= from && each < from + WINDOW_MS).length;
}

test('createWindowBudget() allows consecutive attempts', async () => {
  const {taken, wanted} = await simulateLoad(0.45, 5);
  assert.ok(taken.length > wanted * 0.97, `${taken.length} of ${wanted}`);
});

test('createWindowBudget() limits the sum of all gateways', async () => {
  const {requests, taken} = await simulateLoad(1, 6);
  for (let from = 0; from <= LOAD_MS - WINDOW_MS; from += 500) {
    const allowed = countIn(requests, from) * RATIO + EXTRA;
    assert.ok(countIn(taken, from) <= allowed);
  }
});

test('createWindowBudget() expires old slices', async () => {
  const clock = new SimulatedClock();
  const budget = createWindowBudget({
    clock,
    windowMs: WINDOW_MS,
    ratio: 0.5,
    getExtra: () => 0,
  });
  for (let count = 0; count < 4; count++) budget.deposit();
  assert.deepEqual(
    [budget.tryTake(), budget.tryTake(), budget.tryTake()],
    [true, true, false],
  );
  await clock.advance(WINDOW_MS + 1_000);
  assert.equal(budget.tryTake(), false);
  for (let count = 0; count < 2; count++) budget.deposit();
  assert.equal(budget.tryTake(), true);
});

test.run();
