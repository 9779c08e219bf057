/**
 * Guards against requests that are refused after many engines ended at once,
 * though the others have room: gateways learn one by one which ones are gone.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createRoute} from './forwarding_fakes.ts';
import {SimulatedSite} from '../simulation/simulated_site.ts';

const ENDPOINTS = 30;
const ENDED = 19;
const PER_SECOND = 60;

/** The share of requests that must be answered after the outage began. */
const MIN_ANSWERED = 0.95;

test('forward() finds the engines that are left after an outage', async () => {
  for (const seed of [1, 2, 3]) {
    const site = new SimulatedSite({
      seed,
      gateways: 40,
      cores: 3,
      endpoints: ENDPOINTS,
      engines: {batch: 32, badParts: new Set()},
      route: createRoute({
        repeatability: 'stream',
        resumable: true,
        maxAttempts: 3,
        objectiveMs: 2_000,
        timeoutMs: 8_000,
      }),
    });
    await site.run(3_000, PER_SECOND);
    for (let index = 0; index < ENDED; index++) site.engines?.crash(index);
    const fromMs = site.clock.monotonic();
    await site.run(2_000, PER_SECOND);
    const untilMs = site.clock.monotonic();
    // Leaves time for the last answers.
    await site.run(3_000, 0);
    const sent = site.requests.filter(
      ({atMs}) => atMs >= fromMs && atMs < untilMs,
    );
    const answered = sent.filter(({status}) => status === 200);
    assert.ok(
      answered.length >= MIN_ANSWERED * sent.length,
      `seed ${seed}: ${answered.length} of ${sent.length} answered`,
    );
  }
});

test.run();
