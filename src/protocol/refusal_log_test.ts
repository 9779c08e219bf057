import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from './logger.ts';
import {RefusalLog} from './refusal_log.ts';
import {SimulatedClock} from './simulated_clock.ts';

function createLog() {
  const clock = new SimulatedClock();
  const lines: unknown[] = [];
  const logger = {
    ...silentLogger,
    warn: (_message: string, fields: unknown) => void lines.push(fields),
  };
  return {clock, lines, log: new RefusalLog({clock, logger})};
}

test('record() logs each kind once a minute', async () => {
  const {clock, lines, log} = createLog();
  for (let second = 0; second < 60; second++) {
    log.record('Refuses it.', 'a');
    log.record('Refuses it.', 'b');
    await clock.advance(1_000);
  }
  assert.equal(lines.length, 2);
  log.record('Refuses it.', 'a');
  assert.equal(lines.length, 3);
});

// Guards against another writer that fills the log with ever new names.
test('record() logs a bounded number of kinds', async () => {
  const {clock, lines, log} = createLog();
  for (let index = 0; index < 10_000; index++) {
    log.record('Refuses it.', `id-${index}`);
  }
  assert.equal(lines.length, 32);
  await clock.advance(60_000);
  log.record('Refuses it.', 'id-40');
  assert.equal(lines.length, 33);
});

test('recordDropped() names the list and the reason', () => {
  const {lines, log} = createLog();
  const dropped = [{list: 'entries.*', reason: 'entries.*.id: too long'}];
  log.recordDropped('10.0.0.1:80', dropped);
  log.recordDropped('10.0.0.1:80', dropped);
  assert.deepEqual(lines, [{source: '10.0.0.1:80', ...dropped[0]}]);
});

test.run();
