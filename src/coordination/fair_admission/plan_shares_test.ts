/**
 * Guards against shares by which a surging customer takes from others, a rank starves,
 * or room is left unused.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {FlowDemand} from './demand_window.ts';
import {planShares} from './plan_shares.ts';

function createDemand(
  rank: number,
  customer: string,
  [perSecond, usualPerSecond]: [number, number],
): FlowDemand {
  return {rank, customer, perSecond, usualPerSecond};
}

function getShare(demand: readonly FlowDemand[], pace: number) {
  const {flows} = planShares(demand, pace);
  return (customer: string) =>
    flows.find(each => each.customer === customer)?.perSecond ?? 0;
}

test('nothing is cut while the pace covers the demand', () => {
  const demand = [
    createDemand(0, 'a', [30, 30]),
    createDemand(1, 'b', [60, 60]),
  ];
  const get = getShare(demand, 100);
  assert.equal(get('a'), Infinity);
  assert.equal(get('b'), Infinity);
});

test('a customer at 8 times its load gets what the others leave', () => {
  const others = Array.from({length: 9}, (_, index) =>
    createDemand(0, `c${index}`, [10, 10]),
  );
  const get = getShare([...others, createDemand(0, 'x', [80, 10])], 110);
  for (const {customer} of others) assert.ok(get(customer) >= 9.5, customer);
  assert.ok(get('x') <= 25, `${get('x')}`);
});

test('a large customer keeps its usual load in a surge of a small one', () => {
  const get = getShare(
    [
      createDemand(0, 'large', [50, 50]),
      createDemand(0, 'small', [80, 10]),
      createDemand(0, 'other', [10, 10]),
    ],
    80,
  );
  assert.ok(get('large') >= 45, `${get('large')}`);
  assert.ok(get('other') >= 9, `${get('other')}`);
});

test('repeats beyond any surge do not raise the share of a customer', () => {
  const getRepeated = (perSecond: number) =>
    getShare(
      [createDemand(0, 'x', [perSecond, 10]), createDemand(0, 'a', [20, 10])],
      15,
    )('x');
  assert.ok(getRepeated(8_000) <= getRepeated(80));
});

test('the least urgent rank keeps a quarter of the served share of all', () => {
  const demand = [
    createDemand(0, 'a', [100, 100]),
    createDemand(1, 'b', [100, 100]),
    createDemand(2, 'c', [100, 100]),
  ];
  const {ranks} = planShares(demand, 120);
  const served = ranks.map(({perSecond}) => perSecond / 100);
  const sum = ranks.reduce((total, {perSecond}) => total + perSecond, 0);
  assert.ok(Math.abs(sum - 120) < 1e-6, `${sum} planned`);
  assert.ok(served[0]! >= served[1]! && served[1]! >= served[2]!);
  assert.ok(served[2]! >= 0.25 * 0.4, `${served}`);
});

test('the shares of a cut rank add up to its pace, for random demand', () => {
  let state = 1;
  const draw = () => (state = (state * 16_807) % 2_147_483_647) / 2_147_483_647;
  for (let round = 0; round < 200; round++) {
    const demand = Array.from({length: 12}, (_, index) =>
      createDemand(0, `c${index}`, [1 + draw() * 50, 5 + draw() * 20]),
    );
    const asked = demand.reduce((sum, each) => sum + each.perSecond, 0);
    const pace = asked * (0.2 + 0.7 * draw());
    const {flows} = planShares(demand, pace);
    const given = flows.reduce((sum, {perSecond}, index) => {
      return sum + Math.min(perSecond, demand[index]!.perSecond);
    }, 0);
    assert.ok(Math.abs(given - pace) < 1e-6 * pace, `${given} of ${pace}`);
  }
});

test.run();
