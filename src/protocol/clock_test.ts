import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createSuspendAwareClock, systemClock} from './clock.ts';

function createMachine() {
  const time = {wallMs: 1_000_000, monotonicMs: 50};
  const clock = createSuspendAwareClock({
    ...systemClock,
    now: () => time.wallMs,
    monotonic: () => time.monotonicMs,
  });
  const pass = (ms: number) => {
    time.wallMs += ms;
    time.monotonicMs += ms;
  };
  return {time, clock, pass};
}

test('createSuspendAwareClock() includes a suspension', () => {
  const {time, clock, pass} = createMachine();
  const before = clock.monotonic();
  pass(200);
  time.wallMs += 5_000;
  assert.equal(clock.monotonic() - before, 5_200);
  pass(100);
  assert.equal(clock.monotonic() - before, 5_300);
});

test('createSuspendAwareClock() ignores a backward wall-clock step', () => {
  const {time, clock, pass} = createMachine();
  const before = clock.monotonic();
  time.wallMs -= 2_000;
  pass(100);
  assert.equal(clock.monotonic() - before, 100);
});

// Guards against a time-out of more than 24.8 days, the longest delay of a timer,
// that ends at once.
test('sleep() does not end early for a very long time', async () => {
  for (const ms of [2 ** 31, 1e300, Infinity]) {
    const stopped = new AbortController();
    let isOver = false;
    const sleep = systemClock.sleep(ms, stopped.signal).then(() => {
      isOver = true;
    });
    await systemClock.sleep(30);
    assert.equal(isOver, false, String(ms));
    stopped.abort();
    await sleep;
  }
});

test.run();
