/**
 * Guards against a replicated group that loses its majority while its hosts are
 * lost one after the other, each as soon as the one before counts as back.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {checkFigures, playHistories} from './play_turnovers.ts';

/** Without a leader that commits, after the loss of a leader. */
const MAX_LEADERLESS_MS = 3_000;
const MAX_MEDIAN_LEADERLESS_MS = 1_500;

/** Changes of voters per loss. */
const MAX_CHANGES = 2;
const MAX_MEDIAN_PASSING_CHANGES = 0;

test('a group keeps a majority while hosts are lost one after the other', async () => {
  const played = await playHistories();
  const lost = played.filter(({isLost}) => isLost).map(({seed}) => seed);
  assert.deepEqual(lost, []);
});

test('a group has a leader again soon after the loss of one', async () => {
  const played = await playHistories();
  checkFigures(
    played.map(({seed, leaderlessMs}) => ({seed, values: leaderlessMs})),
    {max: MAX_LEADERLESS_MS, maxMedian: MAX_MEDIAN_LEADERLESS_MS},
  );
});

test('a loss of a disk changes the voters twice at most', async () => {
  const played = await playHistories();
  checkFigures(
    played.map(({seed, lastingChanges}) => ({seed, values: lastingChanges})),
    {max: MAX_CHANGES, maxMedian: MAX_CHANGES},
  );
});

// Guards against hosts that are replaced though they come back with their disk.
test('a restart, a freeze and a cut rarely change the voters', async () => {
  const played = await playHistories();
  checkFigures(
    played.map(({seed, passingChanges}) => ({seed, values: passingChanges})),
    {max: MAX_CHANGES, maxMedian: MAX_MEDIAN_PASSING_CHANGES},
  );
});

test('a group commits in calm stretches in time', async () => {
  const played = await playHistories();
  const late = played
    .filter(({lateProposals}) => lateProposals > 0)
    .map(({seed, lateProposals}) => `seed ${seed}: ${lateProposals} late`);
  assert.deepEqual(late, []);
});

test.run();
