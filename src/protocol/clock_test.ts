import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createSuspendAwareClock, systemClock} from './clock.ts';

function createMachine() {
  const time = {wall: 1_000_000, steady: 50};
  const clock = createSuspendAwareClock({
    ...systemClock,
    now: () => time.wall,
    monotonic: () => time.steady,
  });
  const pass = (ms: number) => {
    time.wall += ms;
    time.steady += ms;
  };
  return {time, clock, pass};
}

test('createSuspendAwareClock() counts a suspension', () => {
  const {time, clock, pass} = createMachine();
  const before = clock.monotonic();
  pass(200);
  time.wall += 5_000;
  assert.equal(clock.monotonic() - before, 5_200);
  pass(100);
  assert.equal(clock.monotonic() - before, 5_300);
});

test('createSuspendAwareClock() never runs backwards', () => {
  const {time, clock, pass} = createMachine();
  const before = clock.monotonic();
  time.wall -= 2_000;
  pass(100);
  assert.equal(clock.monotonic() - before, 100);
});

test.run();
