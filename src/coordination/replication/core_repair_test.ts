/**
 * Guards against a replicated group that bears fewer losses than promised while
 * its hosts are lost one after the other, each as soon as the one before counts as
 * back.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {checkFigures, playHistories} from './play_turnovers.ts';
import {MAX_USUAL_STATE_BYTES} from './turnover_setting.ts';

/** From a successor's start until as many losses are borne as before. */
const MAX_RESTORE_MS = 4_000;
const MAX_MEDIAN_RESTORE_MS = 2_000;

// Guards against acknowledged commands on fewer synced disks than promised,
// against their loss and against a leader that lacks them.
test('a group always bears the losses that it tolerates', async () => {
  const played = await playHistories();
  const wrong = played.flatMap(({seed, failures}) =>
    failures.length > 0 ? [`seed ${seed}: ${failures[0]}`] : [],
  );
  assert.deepEqual(wrong, []);
});

test('a group bears as many losses again soon after a successor starts', async () => {
  const played = await playHistories();
  const figures = played
    .filter(({stateBytes}) => stateBytes <= MAX_USUAL_STATE_BYTES)
    .map(({seed, restoreMs}) => ({seed, values: restoreMs}));
  const bounds = {max: MAX_RESTORE_MS, maxMedian: MAX_MEDIAN_RESTORE_MS};
  checkFigures(figures, bounds);
});

test.run();
