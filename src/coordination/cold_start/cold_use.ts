/** What endpoints of a simulated site got while they were cold. */
import type {ColdArrival, ColdPeriod} from './cold_site_types.ts';
import type {SimulatedColdSite} from './simulated_cold_site.ts';

/** The time in which gateways in contact learn of a report. */
const LEARN_MS = 500;

const WINDOW_MS = 1_000;

/** The most requests of any second of a cold start. */
export interface ColdPeak {
  readonly period: ColdPeriod;
  readonly count: number;
  readonly atMs: number;
}

/** Returns the requests that all gateways may send in any second. */
export function computeBound({options}: SimulatedColdSite): number {
  const {coldStart, bounds} = options;
  return coldStart.perSecond * bounds.excess + bounds.extra;
}

/** Which requests count against the bound. */
export type Counted =
  | 'all'
  /** All but those of gateways that had no time to hear that it is cold. */
  | 'informed';

/**
 * Finds the most requests of any second of each cold start. It counts from a new
 * start on, or from when gateways in contact have heard that an endpoint with
 * requests turned cold.
 */
export function listPeaks(
  site: SimulatedColdSite,
  counted: Counted,
): ColdPeak[] {
  return site.periods.map(period => {
    const {isNewStart, fromMs, reportedAt, untilMs} = period;
    const heardAt = reportedAt + LEARN_MS;
    const arrivals = listArrivals(site, period, [
      isNewStart ? fromMs : heardAt,
      untilMs,
    ]);
    const times = arrivals
      .filter(
        ({isKnown, contactAt}) =>
          counted === 'all' || isNewStart || isKnown || contactAt >= heardAt,
      )
      .map(({atMs}) => atMs);
    let peak: ColdPeak = {period, count: 0, atMs: fromMs};
    for (const [index, atMs] of times.entries()) {
      const end = times.findIndex(other => other >= atMs + WINDOW_MS);
      const count = (end < 0 ? times.length : end) - index;
      if (count > peak.count) peak = {period, count, atMs};
    }
    return peak;
  });
}

/** The use of the bound during one cold start. */
export interface ColdUse {
  readonly share: number;
  /** Requests that were refused meanwhile, in relation to what was allowed. */
  readonly unmetShare: number;
}

/** Computes which part of the bound was used from when gateways knew of it. */
export function listUses(site: SimulatedColdSite): ColdUse[] {
  const bound = computeBound(site);
  return site.periods
    .map(period => ({period, from: period.reportedAt + LEARN_MS}))
    .filter(({period, from}) => period.untilMs - from >= WINDOW_MS)
    .map(({period, from}) => {
      const {untilMs} = period;
      const allowed = (bound * (untilMs - from)) / WINDOW_MS;
      const refused = site.refusedAt.filter(at => at >= from && at < untilMs);
      return {
        share: listArrivals(site, period, [from, untilMs]).length / allowed,
        unmetShare: refused.length / allowed,
      };
    });
}

function listArrivals(
  {endpoints}: SimulatedColdSite,
  {endpoint, startedAtMs}: ColdPeriod,
  [from, until]: readonly [number, number],
): ColdArrival[] {
  const arrivals = endpoints[endpoint]?.arrivals ?? [];
  return arrivals
    .filter(
      each =>
        each.startedAtMs === startedAtMs &&
        each.atMs >= from &&
        each.atMs < until,
    )
    .sort((a, b) => a.atMs - b.atMs);
}
