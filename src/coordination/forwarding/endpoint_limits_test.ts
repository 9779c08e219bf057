/**
 * Guards against endpoints that get more requests than the limit that they
 * named: because no gateway heeds it, or because each takes all of it.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedSite, type SimulatedSiteOptions} from './simulated_site.ts';

const SEEDS = [1, 2, 3, 4, 5, 6];

/** The window in which requests are counted. */
const WINDOW_MS = 4_000;

/** The time in which gateways must heed a limit after it was first named. */
const CONTACT_MS = 4_000;

/** The time after which an answer counts as known to its gateway. */
const TOLD_MS = 500;

/** A burst far above the limits of two of six endpoints, as in the incident. */
const TWO_LIMITED: Omit<SimulatedSiteOptions, 'seed'> = {
  limits: [
    {endpoint: 0, perSecond: 1.6, fromMs: 2_000, untilMs: 40_000},
    {endpoint: 1, perSecond: 2.8, fromMs: 2_000, untilMs: 40_000},
  ],
};

/** Asserts that no window holds more requests than the users' rule allows. */
function assertWithinLimits(
  site: SimulatedSite,
  {limits}: Pick<SimulatedSiteOptions, 'limits'>,
): void {
  for (const {endpoint, perSecond, fromMs, untilMs} of limits) {
    const allowed = 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
    const times = site.arrivals
      .filter(
        each =>
          each.endpoint === endpoint &&
          !each.isExcused &&
          each.atMs >= site.findToldAt(each.gateway, endpoint) + TOLD_MS,
      )
      .map(({atMs}) => atMs);
    for (const end of times) {
      if (end < fromMs + CONTACT_MS || end > untilMs) continue;
      const count = times.filter(at => at > end - WINDOW_MS && at <= end);
      assert.ok(
        count.length <= allowed,
        `e${endpoint}: ${count.length} of ${allowed} at ${end} ms`,
      );
    }
  }
}

test('forward() keeps all gateways together within the limit of an endpoint', async () => {
  for (const seed of SEEDS) {
    const site = new SimulatedSite({...TWO_LIMITED, seed});
    await site.run(20_000, 60);
    assertWithinLimits(site, TWO_LIMITED);
  }
});

test.run();
