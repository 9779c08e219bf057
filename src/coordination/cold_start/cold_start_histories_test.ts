/**
 * Guards against orders of events in which gateways together exceed what a cold
 * endpoint may get: gateways that end, freeze, are cut off, restart or hear late of
 * the cold start, core daemons that restart or are cut off, and endpoints that
 * turn cold, restart and fall silent. Guards as well against cold endpoints that
 * get too little to take part.
 *
 * All requests to a new start count, and those to an endpoint that had requests
 * before from all gateways that could have heard that it is cold: a gateway without
 * contact to the core must not reject what it could have served.
 *
 * The loads are those of the page: 56 to 79 gateways with 2 to 3 requests a second
 * each, 6 endpoints of a plain service or some 40 to 63 engines, even and uneven
 * demand. COLD_SEEDS sets how many histories are played, from COLD_FROM on.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {BOUNDS, COLD_START, playColdHistory} from './cold_history.ts';
import {COLD_MS} from './cold_site_types.ts';
import {computeBound, listPeaks, listUses} from './cold_use.ts';
import {SimulatedColdSite} from './simulated_cold_site.ts';

const SEEDS = Number(process.env['COLD_SEEDS'] ?? 60);
const FIRST_SEED = Number(process.env['COLD_FROM'] ?? 1);

/** After this time gateways without requests have given up their units. */
const UNTIL_IDLE_MS = 40_000;

/** The least part of the bound that is used on average where there is demand. */
const MIN_USE = 0.7;

test('gateways keep cold endpoints within the bound, and use most of it', async () => {
  const shares: number[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const site = await playColdHistory(seed);
    const bound = computeBound(site);
    for (const {count, atMs, period} of listPeaks(site, 'informed')) {
      const where = `seed ${seed}, e${period.endpoint} at ${atMs} ms`;
      assert.ok(count <= bound, `${where}: ${count} of ${bound}`);
    }
    for (const {share, unmetShare} of listUses(site)) {
      if (unmetShare >= 1) shares.push(share);
    }
  }
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  assert.ok(mean >= MIN_USE, `${mean} of the bound used`);
});

// Guards against units that are held where nobody has requests: the gateways of the
// endpoint's data centre have none, and nobody returns to them.
test('gateways without requests give up their part of the bound', async () => {
  const site = new SimulatedColdSite({
    seed: 1,
    gateways: 79,
    cores: 9,
    endpoints: 1,
    perSecond: 79 * 2.5,
    loads: [0, 1.2, 1.2, 1.2, 1.2, 1.2],
    patienceMs: 300,
    fullShare: 0.9,
    maxReturns: 0,
    coldStart: COLD_START,
    bounds: BOUNDS,
  });
  await site.run(UNTIL_IDLE_MS);
  for (let start = 0; start < 5; start++) {
    site.restartEndpoint(0, 500);
    await site.run(COLD_MS + 2_000);
  }
  for (const {count} of listPeaks(site, 'all')) assert.ok(count <= 18);
  const shares = listUses(site).map(({share}) => share);
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  assert.ok(shares.length >= 4 && mean >= MIN_USE, shares.join(' '));
});

test.run();
