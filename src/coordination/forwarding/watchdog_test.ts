/** Tests the timeout that can be set anew. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {startWatchdog} from './watchdog.ts';

function startTimer(ms: number) {
  const clock = new SimulatedClock();
  const expiries: number[] = [];
  const watchdog = startWatchdog(clock, ms, () =>
    expiries.push(clock.monotonic()),
  );
  return {clock, expiries, watchdog};
}

// Guards against an endpoint that falls silent after its first event and is only
// noticed when the timeout for the first event would have expired.
test('postpone() to an earlier time makes the timer expire then', async () => {
  const {clock, expiries, watchdog} = startTimer(2_600);
  await clock.advance(100);
  watchdog.postpone(1_200);
  await clock.advance(5_000);
  assert.deepEqual(expiries, [1_300]);
});

test('postpone() to a later time delays the expiry', async () => {
  const {clock, expiries, watchdog} = startTimer(1_000);
  await clock.advance(900);
  watchdog.postpone(1_000);
  await clock.advance(900);
  assert.deepEqual(expiries, []);
  await clock.advance(200);
  assert.deepEqual(expiries, [1_900]);
});

test('a timer that its expiry postpones runs again', async () => {
  const clock = new SimulatedClock();
  const expiries: number[] = [];
  using watchdog = startWatchdog(clock, 100, () => {
    expiries.push(clock.monotonic());
    watchdog.postpone(100);
  });
  await clock.advance(350);
  assert.deepEqual(expiries, [100, 200, 300]);
});

test('a disposed timer does not expire', async () => {
  const {clock, expiries, watchdog} = startTimer(100);
  watchdog[Symbol.dispose]();
  watchdog.postpone(50);
  await clock.advance(1_000);
  assert.deepEqual(expiries, []);
});

test.run();
