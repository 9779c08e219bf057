/** Guards against levels that follow each pause, or that are never lowered. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SlownessLevel} from './slowness_level.ts';

const WINDOW_MS = 500;

/** Plays windows with one digit each; returns the levels in force after them. */
function play(windows: string, level = new SlownessLevel(), fromMs = 0) {
  return [...windows]
    .map((digit, index) => {
      const shown = Number(digit);
      const cause = shown > 0 ? 'event-loop' : null;
      level.record({level: shown, cause}, fromMs + index * WINDOW_MS);
      return level.current.level;
    })
    .join('');
}

test('record() raises the level after two windows', () => {
  assert.equal(play('0033'), '0003');
  assert.equal(play('0312'), '0011');
});

test('record() ignores single windows', () => {
  assert.equal(play('030030003'), '000000000');
});

test('record() lowers the level after 3 s, to the highest since', () => {
  assert.equal(play('3300000000'), '0333333300');
  assert.equal(play('3310000000'), '0333333311');
});

// Guards against a host that is given and denied its callers every few seconds.
test('record() lowers a level that returns later each time', () => {
  const level = new SlownessLevel();
  let changes = 0;
  let last = 0;
  for (let window = 0; window < 240; window++) {
    // Slow whenever it has all of its work.
    const shown = level.current.level === 0 ? 1 : 0;
    const now = window * WINDOW_MS;
    level.record({level: shown, cause: 'event-loop'}, now);
    if (level.current.level !== last) changes++;
    last = level.current.level;
  }
  assert.ok(changes <= 16, `${changes} changes in 120 s`);
});

test.run();
