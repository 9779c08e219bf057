/**
 * Guards against a warm endpoint that turns cold and gets more than the bound from
 * all gateways together, those without contact to the core among them.
 *
 * Known red: a gateway that cannot have heard of the cold start goes on sending.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {playColdHistory} from './cold_history.ts';
import {computeBound, listPeaks} from './cold_use.ts';

const SEEDS = Number(process.env['COLD_SEEDS'] ?? 20);
const FIRST_SEED = Number(process.env['COLD_FROM'] ?? 1);

test('all gateways keep cold endpoints within the bound, heard of or not', async () => {
  const over: string[] = [];
  let periods = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const site = await playColdHistory(seed);
    const bound = computeBound(site);
    const peaks = listPeaks(site, 'all');
    periods += peaks.length;
    for (const {count, period} of peaks) {
      if (count <= bound) continue;
      over.push(`seed ${seed}, e${period.endpoint}: ${count} of ${bound}`);
    }
  }
  assert.equal(
    over.length,
    0,
    `${over.length} of ${periods}: ${over.join(', ')}`,
  );
});

test.run();
