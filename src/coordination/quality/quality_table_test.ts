import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Clock} from '../../protocol/clock.ts';
import {versionSchema} from '../../protocol/declaration.ts';
import {MAX_RISE} from './estimate_quality.ts';
import {QualityTable} from './quality_table.ts';

const version = versionSchema.parse({
  model: 'draft',
  name: 'v1',
  pool: 'p',
  prompt_price: 1,
  completion_price: 1,
  expected_quality: 0.8,
});

function createTable(): {table: QualityTable; advance(ms: number): void} {
  let now = 0;
  const clock: Clock = {
    now: () => now,
    monotonic: () => now,
    sleep: async () => {},
  };
  return {
    table: new QualityTable({clock}),
    advance: ms => (now += ms),
  };
}

function record(table: QualityTable, scores: number[], requestClass = 'a') {
  for (const score of scores) {
    table.record({version: 'draft/v1', requestClass, score});
  }
}

/** Creates deterministic scores around a mean. */
function spread(mean: number, count: number): number[] {
  return Array.from(
    {length: count},
    (_, index) => mean + (index % 2 === 0 ? 0.05 : -0.05),
  );
}

test('estimate() returns the declared quality without ratings', () => {
  const {table} = createTable();
  assert.equal(table.estimate(version, 'a').lower, 0.8);
});

test('estimate() puts the bound below the mean of the ratings', () => {
  const {table} = createTable();
  record(table, spread(0.6, 400));
  const estimate = table.estimate(version, 'a');
  assert.ok(estimate.lower < 0.61 && estimate.lower > 0.58);
  assert.equal(table.estimate(version, 'b').lower, 0.8);
});

test('record() follows a sudden fall within a few ratings', () => {
  const {table} = createTable();
  record(table, spread(0.8, 500));
  record(table, spread(0.3, 40));
  assert.ok(table.estimate(version, 'a').lower < 0.5);
});

test('record() down-weights the ratings of a sudden rise', () => {
  const {table} = createTable();
  record(table, spread(0.5, 500));
  const before = table.estimate(version, 'a').lower;
  record(table, new Array(100).fill(1));
  const after = table.estimate(version, 'a');
  assert.ok(after.lower < before + 0.05);
  assert.match(after.caveat ?? '', /rose suddenly/);
});

test('estimate() caps ratings far above the declared quality', () => {
  const {table} = createTable();
  record(table, new Array(1_000).fill(1));
  const estimate = table.estimate(version, 'a');
  assert.ok(estimate.lower <= 0.8 + MAX_RISE);
  assert.match(estimate.caveat ?? '', /above the declared/);
});

test('estimate() does not decay ratings while no new ones arrive', () => {
  const {table, advance} = createTable();
  record(table, spread(0.3, 100));
  const before = table.estimate(version, 'a').lower;
  advance(24 * 3_600_000);
  assert.equal(table.estimate(version, 'a').lower, before);
});

test('merge() replaces an earlier summary of the same gateway', () => {
  const {table} = createTable();
  const other = createTable().table;
  record(other, spread(0.4, 100));
  table.merge('g2', other.summarise());
  table.merge('g2', other.summarise());
  assert.equal(
    table.estimate(version, 'a').lower,
    other.estimate(version, 'a').lower,
  );
});

test('estimate() uses the mean of the class as prior of its buckets', () => {
  const {table} = createTable();
  record(table, spread(0.5, 200), 'a#short');
  assert.ok(table.estimate(version, 'a#long').mean < 0.55);
});

test.run();
