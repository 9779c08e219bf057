/**
 * Guards against requests whose prompt has a part that crashes engines, and that
 * gateways send from one engine to the next: as retries, and as new requests.
 *
 * PROMPT_CRASH_SEEDS sets how many histories are played, from PROMPT_CRASH_FROM
 * on.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {playHistory, type HistoryFigures} from './prompt_history.ts';

const SEEDS = Number(process.env['PROMPT_CRASH_SEEDS'] ?? 10);
const FIRST_SEED = Number(process.env['PROMPT_CRASH_FROM'] ?? 1);

/** Requests with a part that may reach engines late: the users' rule. */
const MAX_LATE = 3;

const histories: HistoryFigures[] = [];

test('forward() keeps a part that crashes engines from them after the fifth crash', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    histories.push(await playHistory({seed}));
  }
  if (process.env['PROMPT_CRASH_PRINT']) {
    for (const figures of histories) console.log(JSON.stringify(figures));
  }
  for (const {seed, setting, late} of histories) {
    for (const count of late) {
      assert.ok(count <= MAX_LATE, `seed ${seed}: ${count} late (${setting})`);
    }
  }
});

test.run();
