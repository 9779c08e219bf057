/** Guards against readings that are trusted although they are old. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {LoadReading} from './load_reading.ts';

function createLoad(workPercent: number | undefined, running = 0, waiting = 0) {
  const load = {running, waiting, slots: 8};
  return workPercent === undefined ? load : {...load, workPercent};
}

test('estimateTime() falls back to 1 as the reading ages', () => {
  const reading = new LoadReading();
  reading.record(createLoad(250), 1_000, 1);
  const factors = [1_000, 1_150, 1_300, 1_600, 4_000].map(
    now => reading.estimateTime(0, now).factor,
  );
  assert.ok(factors[0]! > 2.3);
  assert.deepEqual(
    factors,
    [...factors].sort((a, b) => b - a),
  );
  assert.ok(factors[2]! < 1.6 && factors[4]! < 1.01);
});

test('estimateTime() counts the reading less for work that outlasts it', () => {
  const reading = new LoadReading();
  reading.record(createLoad(250), 0, 1);
  const short = reading.estimateTime(20, 0).factor;
  const long = reading.estimateTime(3_000, 0).factor;
  assert.ok(short > 2.2 && long < 1.2, `${short}, ${long}`);
});

test('a reading of 100 ends the slowness that was reported before', () => {
  const reading = new LoadReading();
  reading.record(createLoad(250), 0, 1);
  reading.record(createLoad(102), 100, 1);
  assert.deepEqual(reading.estimateTime(0, 100), {factor: 1, spread: 0});
});

test('an endpoint that always reports 160 is not slower than usual', () => {
  const reading = new LoadReading();
  for (let now = 0; now < 60; now++) {
    reading.record(createLoad(160), now * 100, 1);
  }
  assert.equal(reading.estimateTime(0, 6_000).factor, 1);
});

test('a load without work time, or with an invalid one, changes nothing', () => {
  const reading = new LoadReading();
  reading.record(createLoad(undefined, 8, 20), 0, 1);
  reading.record(createLoad(0, 8, 20), 0, 1);
  reading.record(createLoad(NaN, 8, 20), 0, 1);
  assert.deepEqual(reading.estimateTime(0, 0), {factor: 1, spread: 0});
  assert.equal(reading.estimateOpen(1, 2, 0), 3);
});

test('estimateOpen() adds own requests since the reading and forgets it', () => {
  const reading = new LoadReading();
  reading.record(createLoad(100, 8, 4), 0, 2);
  assert.equal(reading.estimateOpen(2, 0, 0), 12);
  assert.equal(reading.estimateOpen(5, 0, 0), 15);
  // No fewer than this gateway's own.
  reading.record(createLoad(100, 0, 0), 0, 5);
  assert.equal(reading.estimateOpen(5, 9, 0), 5);
  assert.ok(Math.abs(reading.estimateOpen(5, 9, 60_000) - 14) < 0.001);
});

test.run();
