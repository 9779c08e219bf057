/**
 * Guards against answers that a gateway ends because their endpoint is silent for
 * a moment: it gave them up for a successor that was refused afterwards.
 *
 * SILENCE_SEEDS sets how many histories are played, from SILENCE_FROM on;
 * SILENCE_PRINT prints the figures of each.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  playSilenceHistory,
  type SilenceFigures,
} from '../simulation/silence_history.ts';

const SEEDS = Number(process.env['SILENCE_SEEDS'] ?? 40);
const FIRST_SEED = Number(process.env['SILENCE_FROM'] ?? 1);

let played: Promise<SilenceFigures[]> | null = null;

function playHistories(): Promise<SilenceFigures[]> {
  played ??= playAll();
  return played;
}

async function playAll(): Promise<SilenceFigures[]> {
  const histories: SilenceFigures[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    histories.push(await playSilenceHistory(seed));
  }
  if (process.env['SILENCE_PRINT']) {
    for (const each of histories) console.log(JSON.stringify(each));
  }
  return histories;
}

async function listFaults(pattern: RegExp): Promise<string[]> {
  const histories = await playHistories();
  return histories.flatMap(({seed, setting, faults}) =>
    faults
      .filter(({fault}) => pattern.test(fault))
      .map(({id, fault}) => `seed ${seed} (${setting}): ${id} ${fault}`),
  );
}

test('forward() ends no begun answer that its endpoint can still end', async () => {
  const faults = await listFaults(/would have ended it/);
  assert.equal(faults.length, 0, `${faults.length}:\n${faults.join('\n')}`);
});

// Guards against answers that are lost since endpoints refuse to take over.
test('forward() ends no begun answer that another endpoint would complete', async () => {
  const faults = await listFaults(/was ended/);
  assert.equal(faults.length, 0, `${faults.length}:\n${faults.join('\n')}`);
});

test('forward() leaves an endpoint that never speaks again', async () => {
  const faults = await listFaults(/held on to/);
  assert.equal(faults.length, 0, `${faults.length}:\n${faults.join('\n')}`);
});

test('forward() joins the events of attempts without gaps, one at a time', async () => {
  const faults = await listFaults(/in order|at once/);
  assert.equal(faults.length, 0, `${faults.length}:\n${faults.join('\n')}`);
});

test('the histories resume answers, and end some that cannot be completed', async () => {
  const histories = await playHistories();
  const sum = (get: (figures: SilenceFigures) => number) =>
    histories.reduce((total, each) => total + get(each), 0);
  assert.ok(sum(({whole}) => whole) > histories.length);
  assert.ok(sum(({resumed}) => resumed) > 0);
  assert.ok(sum(({cut}) => cut) > 0);
  assert.ok(sum(({deserted}) => deserted) > 0);
});

test.run();
