/**
 * Guards against orders of events in which the shares of a limit add up to more
 * than the limit: gateways and core daemons that restart or are cut off one
 * after the other and at the same time, while limits are named, changed and
 * ended, under failing answers and loads of all sizes.
 *
 * LIMITS_SOAK_SEEDS sets how many histories are played, from LIMITS_SOAK_FROM on.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import {assertWithinLimits} from './assert_within_limits.ts';
import {SimulatedSite} from '../simulation/simulated_site.ts';
import type {SiteLimit} from '../simulation/simulated_site_types.ts';

const SEEDS = Number(process.env['LIMITS_SOAK_SEEDS'] ?? 8);
const FIRST_SEED = Number(process.env['LIMITS_SOAK_FROM'] ?? 1);

/** The length of a history, in ms. */
const LENGTH_MS = 18_000;

async function playHistory(seed: number): Promise<void> {
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat64(generator);
  const drawBetween = (low: number, high: number) =>
    low + Math.floor(draw() * (high - low + 1));
  const gateways = drawBetween(2, 30);
  const cores = drawBetween(1, 9);
  const endpoints = drawBetween(1, 12);
  const limits: SiteLimit[] = [];
  for (let endpoint = 0; endpoint < endpoints; endpoint++) {
    if (draw() < 0.4) continue;
    const fromMs = drawBetween(500, 8_000);
    const isLasting = draw() < 0.6;
    limits.push({
      endpoint,
      perSecond: Math.round(0.3 * 40 ** draw() * 10) / 10,
      fromMs,
      untilMs: isLasting ? 60_000 : fromMs + drawBetween(4_000, 9_000),
    });
  }
  const failureShare = draw() < 0.5 ? 0 : draw() * 0.5;
  const site = new SimulatedSite({
    seed,
    gateways,
    cores,
    endpoints,
    limits,
    failureShare,
  });
  const perSecond = drawBetween(5, 120);
  for (let ms = 0; ms < LENGTH_MS;) {
    const pauseMs = drawBetween(50, 1_500);
    await site.run(pauseMs, perSecond);
    ms += pauseMs;
    const events = drawBetween(0, 3);
    for (let count = 0; count < events; count++) {
      const kind = draw();
      if (kind < 0.4) site.restartGateway(drawBetween(0, gateways - 1));
      else if (kind < 0.7) site.restartCore(drawBetween(0, cores - 1));
      else {
        site.cutGateway(drawBetween(0, gateways - 1), drawBetween(300, 6_000));
      }
    }
  }
  try {
    assertWithinLimits(site, {limits});
    // Beyond the rule: no restart or cut excuses a gateway that knows the limit.
    assertWithinLimits(
      site,
      {limits},
      ({isTold, isInformed}) => isTold || isInformed,
    );
  } catch (error) {
    throw new Error(`Could not keep the limits with seed ${seed}`, {
      cause: error,
    });
  }
}

test('forward() keeps limits through restarts, cuts and changes in any order', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    await playHistory(seed);
  }
});

test.run();
