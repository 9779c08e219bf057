import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {startLoadWatch} from './load_watch.ts';

/** Starts a watch whose checks come late by `lateMs`. */
function startWatch() {
  const clock = new SimulatedClock();
  const watched = {lateMs: 0, busyMs: 0, lines: [] as object[], clock};
  const watch = startLoadWatch({
    clock: {
      now: () => clock.now(),
      monotonic: () => clock.monotonic(),
      sleep: (ms, signal) => clock.sleep(ms + watched.lateMs, signal),
    },
    logger: {
      ...silentLogger,
      info: (_message, fields = {}) => watched.lines.push(fields),
    },
    metrics: silentMetrics,
    readUsage: () => ({user: watched.busyMs * 1_000, system: 0}),
    takeTraffic: () =>
      new Map([['follow', {calls: 2, sentBytes: 10, receivedBytes: 30}]]),
    takeEntries: () => new Map([['follow', {loads: 3}]]),
  });
  return {watched, watch};
}

test('startLoadWatch() reports processor time, calls and entries at an interval', async () => {
  const {watched, watch} = startWatch();
  watched.busyMs = 2_500;
  await watched.clock.advance(10_500);
  assert.deepEqual(watched.lines, [
    {
      overMs: 10_000,
      coreShare: 0.25,
      lateMs: 0,
      calls: {follow: [2, 10, 30]},
      entries: {follow: {loads: 3}},
    },
  ]);
  watch[Symbol.dispose]();
});

test('startLoadWatch() reports at once while the event loop is late', async () => {
  const {watched, watch} = startWatch();
  watched.lateMs = 300;
  await watched.clock.advance(3_900);
  assert.equal(watched.lines.length, 2);
  watch[Symbol.dispose]();
});

test.run();
