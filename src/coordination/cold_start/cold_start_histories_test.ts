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
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import {COLD_MS} from './cold_site_types.ts';
import {computeBound, listPeaks, listUses} from './cold_use.ts';
import {SimulatedColdSite} from './simulated_cold_site.ts';

const SEEDS = Number(process.env['COLD_SEEDS'] ?? 60);
const FIRST_SEED = Number(process.env['COLD_FROM'] ?? 1);

/** After this time all gateways use their units. */
const WARM_UP_MS = 9_000;

/** After this time gateways without requests have given up their units. */
const UNTIL_IDLE_MS = 40_000;

const LENGTH_MS = 18_000;

const SKIPPED_DRAWS = 20;

const COLD_START = {durationMs: COLD_MS, perSecond: 8.8};
const BOUNDS = {excess: 1.5, extra: 5};

/** The least part of the bound that is used on average where there is demand. */
const MIN_USE = 0.7;

/**
 * The largest share of cold starts in which an endpoint that was warm gets more than
 * the bound, since gateways without contact to the core take it for warm.
 */
const MAX_OVER_SHARE = 0.02;

async function playHistory(seed: number): Promise<SimulatedColdSite> {
  const generator = xoroshiro128plus(seed + 7_777);
  const draw = () => uniformFloat64(generator);
  // The first numbers of neighbouring seeds are alike.
  for (let count = 0; count < SKIPPED_DRAWS; count++) draw();
  const drawBetween = (low: number, high: number) =>
    low + Math.floor(draw() * (high - low + 1));
  const gateways = draw() < 0.8 ? drawBetween(56, 79) : drawBetween(1, 30);
  const cores = draw() < 0.8 ? 9 : drawBetween(1, 5);
  const endpoints = draw() < 0.6 ? drawBetween(1, 6) : drawBetween(40, 63);
  const isEven = draw() < 0.5;
  const site = new SimulatedColdSite({
    seed,
    gateways,
    cores,
    endpoints,
    perSecond: gateways * (2 + draw()),
    loads: isEven ? [1] : [2.2, 0.2, 1.2, 0.8, 1.4, 0.2],
    patienceMs: drawBetween(0, 500),
    fullShare: 0.7 + draw() * 0.28,
    maxReturns: 3,
    coldStart: COLD_START,
    bounds: BOUNDS,
  });
  await site.run(WARM_UP_MS);
  for (let ms = 0; ms < LENGTH_MS;) {
    const pauseMs = drawBetween(100, 2_000);
    await site.run(pauseMs);
    ms += pauseMs;
    const endpoint = drawBetween(0, endpoints - 1);
    if (draw() < 0.5) site.turnCold(endpoint);
    else site.restartEndpoint(endpoint, drawBetween(200, 4_000));
    const faults = drawBetween(0, 2);
    for (let count = 0; count < faults; count++) {
      const gateway = drawBetween(0, gateways - 1);
      const forMs = drawBetween(200, 8_000);
      const kind = draw();
      if (kind < 0.25) site.restartGateway(gateway, forMs);
      else if (kind < 0.5) site.freezeGateway(gateway, forMs);
      else if (kind < 0.75) site.cutGateway(gateway, forMs);
      else if (kind < 0.9) site.cutCore(drawBetween(0, cores - 1), forMs);
      else site.restartCore(drawBetween(0, cores - 1));
    }
  }
  await site.run(COLD_MS);
  return site;
}

test('gateways keep cold endpoints within the bound, and use most of it', async () => {
  const shares: number[] = [];
  let periods = 0;
  let overPeriods = 0;
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const site = await playHistory(seed);
    const bound = computeBound(site);
    for (const {count, atMs, period} of listPeaks(site, 'informed')) {
      const where = `seed ${seed}, e${period.endpoint} at ${atMs} ms`;
      assert.ok(count <= bound, `${where}: ${count} of ${bound}`);
    }
    const peaks = listPeaks(site, 'all');
    periods += peaks.length;
    overPeriods += peaks.filter(({count}) => count > bound).length;
    for (const {share, unmetShare} of listUses(site)) {
      if (unmetShare >= 1) shares.push(share);
    }
  }
  const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
  console.log(
    `${periods} cold starts, ${overPeriods} over the bound with gateways that ` +
      `had not heard; ${mean.toFixed(3)} used of ${shares.length} with demand`,
  );
  assert.ok(mean >= MIN_USE, `${mean} of the bound used`);
  assert.ok(
    overPeriods <= periods * MAX_OVER_SHARE,
    `${overPeriods} of ${periods} over the bound`,
  );
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
