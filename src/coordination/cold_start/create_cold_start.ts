/** Puts the parts together that limit a gateway's requests to cold endpoints. */
import type {Clock} from '../../protocol/clock.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {RoutedService} from '../../protocol/route_table.ts';
import {RecentGateways} from '../forwarding/recent_gateways.ts';
import {ColdEndpoints} from './cold_endpoints.ts';
import {ColdStartRule} from './cold_start_rule.ts';
import {OwnDemand} from './own_demand.ts';
import {RETAIN_MS, ShareLease} from './share_lease.ts';

export interface ColdStartOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** The bounds of the settings; without both, cold endpoints are not limited. */
  readonly bounds: {
    readonly cold_excess?: number | undefined;
    readonly cold_extra?: number | undefined;
  };
  /** The address of this gateway in the list. */
  readonly address: string;
  /** Lists the gateways that serve callers, as last reported. */
  readonly listGateways: () => readonly Gateway[];
  /** Finds a service in the route table in force. */
  readonly findService: (name: string) => RoutedService | null;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
}

/** The limits of one gateway on its requests to cold endpoints. */
export interface ColdStartLimits {
  readonly rule: ColdStartRule;
  /** What the other gateways are told of this one's requests. */
  describeDemand(): {readonly idle?: true};
  /** Records a request of a caller. */
  recordRequest(): void;
  /** The remaining cold time of an endpoint start, in ms; 0 if it is warm. */
  getColdMs(endpoint: EndpointEntry): number;
  /** Records an entry of the core's list. */
  record(entry: EndpointEntry): void;
  /** Records when a call was sent that a daemon with a leader has answered. */
  recordContact(sentAt: number): void;
  /**
   * Lets endpoints count as cold for `ms`, or until a later report of one says that
   * it is warm.
   */
  treatAsCold(endpoints: readonly EndpointEntry[], ms: number): void;
  /** Drops endpoints that are not listed any more. */
  pruneEnded(findEndpoint: (id: string) => EndpointEntry | null): void;
  /** Keeps the metrics and the lease current; to be called each second. */
  update(): void;
}

export function createColdStart(options: ColdStartOptions): ColdStartLimits {
  const {clock, logger, metrics, address, listGateways} = options;
  const gateways = new RecentGateways({
    clock,
    listGateways,
    retainMs: RETAIN_MS,
  });
  const {cold_excess: excess, cold_extra: extra} = options.bounds;
  const isLimited = excess !== undefined && extra !== undefined;
  const findColdStart = (service: string) =>
    isLimited ? (options.findService(service)?.coldStart ?? null) : null;
  const demand = new OwnDemand(clock);
  const lease = new ShareLease({clock, address, gateways});
  const endpoints = new ColdEndpoints({
    clock,
    logger,
    metrics,
    findColdStart,
    onTurnedCold: endpoint => rule.spreadUnits(endpoint),
  });
  const rule = new ColdStartRule({
    ...options,
    gateways,
    bounds: isLimited ? {excess, extra} : null,
    lease,
    demand,
    cold: endpoints,
    findColdStart,
  });
  return {
    rule,
    describeDemand: () => (isLimited && demand.isToldIdle ? {idle: true} : {}),
    recordRequest: () => demand.record(),
    getColdMs: endpoint => endpoints.getColdMs(endpoint),
    record: entry => endpoints.record(entry),
    recordContact: sentAt => lease.recordContact(sentAt),
    treatAsCold: (cold, ms) => endpoints.treatAsCold(cold, ms),
    pruneEnded(findEndpoint) {
      endpoints.prune(findEndpoint);
      rule.prune(findEndpoint);
    },
    update() {
      lease.update();
      if (isLimited) metrics.gauge('cold_endpoints', endpoints.countCold());
    },
  };
}
