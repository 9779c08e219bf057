/** Draws histories of cold endpoints for tests. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {COLD_MS} from './cold_site_types.ts';
import {SimulatedColdSite} from './simulated_cold_site.ts';

/** After this time all gateways use their units. */
const WARM_UP_MS = 9_000;

const LENGTH_MS = 18_000;

const SKIPPED_DRAWS = 20;

export const COLD_START = {durationMs: COLD_MS, perSecond: 8.8};
export const BOUNDS = {excess: 1.5, extra: 5};

/** Plays gateways, core daemons and endpoints that fail in a drawn order. */
export async function playColdHistory(
  seed: number,
): Promise<SimulatedColdSite> {
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
