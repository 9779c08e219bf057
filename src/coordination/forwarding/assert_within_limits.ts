/** Checks the requests of a simulated site against the users' rule on limits. */
import assert from 'node:assert/strict';
import type {SimulatedSite} from '../simulation/simulated_site.ts';
import type {
  Arrival,
  SimulatedSiteOptions,
} from '../simulation/simulated_site_types.ts';

/** The window in which requests are counted. */
const WINDOW_MS = 4_000;

/** The time in which gateways must heed a limit after it was first named. */
const CONTACT_MS = 4_000;

/**
 * Asserts that no window holds more requests than the users' rule allows.
 *
 * @param counts Which requests count; by default those that the rule counts.
 */
export function assertWithinLimits(
  site: SimulatedSite,
  {limits = []}: Pick<SimulatedSiteOptions, 'limits'>,
  counts: (arrival: Arrival) => boolean = ({isTold, isExcused}) =>
    isTold && !isExcused,
): void {
  for (const {endpoint, perSecond, fromMs, untilMs} of limits) {
    const allowed = 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
    const times = site.arrivals
      .filter(each => each.endpoint === endpoint && counts(each))
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
