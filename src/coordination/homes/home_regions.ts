/**
 * Keeps requests within the home regions of their routes and customers.
 *
 * The regions are those of the configuration in force at each question, not those
 * at admission, so that a change applies to retries and successors of requests in
 * flight. A data centre whose region is unknown is in no home region.
 */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {RouteTable} from '../../protocol/route_table.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import type {GatewayView} from '../gateway/gateway_view.ts';
import type {RouteIndex} from '../gateway/route_index.ts';
import type {EndpointRule} from '../selection/endpoint_rules.ts';
import {
  findHomeRegions,
  hasHomeRegions,
  isRestricted,
} from './find_home_regions.ts';

/** Unknown regions that a log line names at most. */
const MAX_LOGGED = 16;

export interface HomeRegionsOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly view: Pick<GatewayView, 'routes'>;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
  /** Lists the regions that have a data centre. */
  readonly listRegions: () => readonly string[];
}

/** The home regions of a request by a table. */
interface Answer {
  readonly routes: RouteIndex | null;
  readonly homes: ReadonlySet<string> | null;
}

export class HomeRegions implements EndpointRule {
  /** The table looked at last, and whether it has home regions. */
  private known: {routes: RouteIndex | null; hasHomes: boolean} = {
    routes: null,
    hasHomes: false,
  };
  /** A choice asks about many endpoints for one request. */
  private readonly answers = new WeakMap<CallRun, Answer>();

  constructor(private readonly options: HomeRegionsOptions) {}

  /** Returns the home regions of a request; `null` if it may go anywhere. */
  find(run: CallRun): ReadonlySet<string> | null {
    const {routes} = this.options.view;
    const {route, customer} = run.admitted;
    if (this.known.routes !== routes) {
      const hasHomes = routes !== null && hasHomeRegions(routes.table);
      this.known = {routes, hasHomes};
    }
    const isBound =
      this.known.hasHomes || isRestricted(route) || isRestricted(customer);
    if (!isBound) return null;
    const known = this.answers.get(run);
    if (known?.routes === routes) return known.homes;
    const homes = findHomeRegions(routes, run.admitted);
    this.answers.set(run, {routes, homes});
    return homes;
  }

  /** Whether an endpoint is in a home region of a request. */
  isAllowed(run: CallRun, {dataCentre}: EndpointEntry): boolean {
    const homes = this.find(run);
    if (homes === null) return true;
    const region = this.options.findRegion(dataCentre);
    return region !== null && homes.has(region);
  }

  /** Why a request that no endpoint accepts is refused. */
  explainRefusal(run: CallRun): 'no-home-endpoint' | null {
    return this.find(run) === null ? null : 'no-home-endpoint';
  }

  /**
   * Logs the home regions of a new table that have no data centre known here.
   * That is no error, since other daemons may know one.
   */
  checkTable({version, routes, customers}: RouteTable): void {
    const {logger, metrics, listRegions} = this.options;
    const named = [...routes, ...(customers ?? [])].flatMap(
      ({allowedRegions = []}) => allowedRegions,
    );
    const known = new Set(listRegions());
    const unknown = [...new Set(named)].filter(region => !known.has(region));
    metrics.gauge('unknown_home_regions', unknown.length);
    if (unknown.length === 0) return;
    logger.warn('Finds home regions without a known data centre.', {
      version,
      regions: unknown.slice(0, MAX_LOGGED),
      count: unknown.length,
    });
  }
}
