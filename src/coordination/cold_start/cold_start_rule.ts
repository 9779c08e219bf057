/**
 * Keeps all gateways together within the requests that a cold endpoint tolerates.
 *
 * In any second a cold endpoint may get a number of requests. Each gateway computes
 * its units of them from the list of gateways, and sends at most that many in any
 * window of its own, so that no request waits for another process. Requests that
 * were sent before the endpoint turned cold count, too.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {ColdStart} from '../../protocol/route_table.ts';
import type {RecentGateways} from '../forwarding/recent_gateways.ts';
import {ReturnSchedule} from '../forwarding/return_schedule.ts';
import type {AttemptOrder, EndpointRule} from '../selection/endpoint_rules.ts';
import type {ColdEndpoints} from './cold_endpoints.ts';
import {computeUnits} from './compute_units.ts';
import type {OwnDemand} from './own_demand.ts';
import type {ShareLease} from './share_lease.ts';

/**
 * The window in which a unit is used once: the second of the bound, and a margin,
 * since requests that were sent after each other may arrive closer together.
 */
const WINDOW_MS = 1_050;

/**
 * The part of the bound that is divided. The rest covers gateways that have not
 * heard of the cold start.
 */
const DIVIDED_SHARE = 0.95;

/**
 * The requests of a window that an endpoint gets from a gateway that stood still and
 * does not know yet whether it is cold. All that waited meanwhile come at once.
 */
const UNITS_AFTER_FREEZE = 1;

/** Spreads callers that return once an endpoint is warm, in ms. */
const MAX_JITTER_MS = 500;

const MS_PER_SECOND = 1_000;

/** How much more than the reported rate a cold endpoint may get. */
export interface ColdBounds {
  /** The factor on the rate that it tolerates. */
  readonly excess: number;
  /** The requests in a second beyond that. */
  readonly extra: number;
}

export interface ColdStartRuleOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** `null` if cold endpoints are not limited. */
  readonly bounds: ColdBounds | null;
  /** The address of this gateway in the list. */
  readonly address: string;
  readonly gateways: RecentGateways;
  readonly lease: Pick<ShareLease, 'isHeld' | 'isResuming'>;
  readonly demand: Pick<OwnDemand, 'mayCountIdle'>;
  readonly cold: Pick<ColdEndpoints, 'getColdMs'>;
  /** What the endpoints of a service bear; `null` if they are never cold. */
  readonly findColdStart: (service: string) => ColdStart | null;
  /** The region of a data centre; `null` when it is unknown. */
  readonly findRegion: (dataCentre: string) => string | null;
}

/** The units of this gateway at one endpoint. */
interface Units {
  /** From what they were computed. */
  readonly gateways: readonly Gateway[];
  readonly isIdle: boolean;
  readonly total: number;
  readonly positions: readonly number[];
}

/** The latest requests to one endpoint start. */
interface SentRequests {
  readonly startedAtMs: number;
  /** When they were sent, on the monotonic clock; in order. */
  times: number[];
  units: Units | null;
}

export class ColdStartRule implements EndpointRule {
  private readonly sent = new Map<string, SentRequests>();

  private readonly returns: ReturnSchedule;

  constructor(private readonly options: ColdStartRuleOptions) {
    this.returns = new ReturnSchedule(options);
  }

  /** Whether this gateway may send the endpoint a request now. */
  hasRoom(endpoint: EndpointEntry): boolean {
    return this.findWaitMs(endpoint) === 0;
  }

  /** Takes a unit for one request; false if there is none. */
  tryTake(endpoint: EndpointEntry, attempt: AttemptOrder): boolean {
    const limit = this.findLimit(endpoint);
    if (!limit) return true;
    const isCold = this.options.cold.getColdMs(endpoint) > 0;
    const hasRoom = this.hasRoom(endpoint);
    if (hasRoom) {
      const {times} = this.getSent(endpoint);
      times.push(this.options.clock.monotonic());
      if (times.length > limit.total) times.shift();
    }
    if (isCold) {
      this.options.metrics.count('cold_attempts', 1, {
        service: endpoint.service,
        attempt,
        outcome: hasRoom ? 'sent' : 'withheld',
      });
    }
    return hasRoom;
  }

  /**
   * How long a request would wait here for a unit, in ms; `Infinity` if this
   * gateway holds none.
   */
  getWaitMs(endpoint: EndpointEntry): number {
    return this.findWaitMs(endpoint);
  }

  /**
   * Plans when the caller of a refused request should return, in ms from now. Any
   * gateway may get it back, so callers come at the rate of this one's part of the
   * bound, or once an endpoint is warm.
   */
  planReturnMs(
    service: string,
    endpoints: readonly EndpointEntry[],
  ): number | null {
    const {cold, gateways} = this.options;
    const coldMs = endpoints.map(each => cold.getColdMs(each));
    const limits = endpoints
      .map(each => this.findLimit(each))
      .filter(limit => limit !== null);
    if (limits.length === 0) return null;
    const perSecond = limits.reduce(
      (sum, {total, windowMs}) => sum + (total * MS_PER_SECOND) / windowMs,
      0,
    );
    return this.returns.planMs(service, {
      perSecond: perSecond / gateways.count(),
      maxMs: Math.min(...coldMs) + this.options.random() * MAX_JITTER_MS,
    });
  }

  private findWaitMs(endpoint: EndpointEntry): number {
    const limit = this.findLimit(endpoint);
    if (!limit) return 0;
    const {clock, cold, lease} = this.options;
    const coldMs = cold.getColdMs(endpoint);
    if (coldMs === 0 && !lease.isResuming()) return 0;
    const sent = this.getSent(endpoint);
    // Any endpoint may have turned cold while the process stood still.
    const isUnknown = coldMs === 0;
    const count = isUnknown
      ? UNITS_AFTER_FREEZE
      : this.getUnits(endpoint, sent, limit.total).positions.length;
    if (count === 0 || !(isUnknown || lease.isHeld())) return Infinity;
    const oldest = sent.times.at(-count);
    if (oldest === undefined) return 0;
    const waitMs = oldest + limit.windowMs - clock.monotonic();
    return Math.max(0, isUnknown ? waitMs : Math.min(coldMs, waitMs));
  }

  /**
   * Spreads the units of a window over it, for an endpoint that got requests until
   * it turned cold. Those that gateways sent lately and the units of all gateways at
   * once would exceed the bound.
   */
  spreadUnits(endpoint: EndpointEntry): void {
    const limit = this.findLimit(endpoint);
    if (!limit) return;
    const now = this.options.clock.monotonic();
    const sent = this.getSent(endpoint);
    const {positions} = this.getUnits(endpoint, sent, limit.total);
    const {windowMs, total} = limit;
    const recent = sent.times.filter(atMs => atMs > now - windowMs);
    const spread = positions
      .slice(recent.length)
      .map(position => now - windowMs * (1 - (position + 0.5) / total));
    sent.times = [...recent, ...spread].sort((a, b) => a - b);
  }

  /** Drops endpoints that are not listed any more. */
  prune(findEndpoint: (id: string) => EndpointEntry | null): void {
    for (const id of this.sent.keys()) {
      if (findEndpoint(id) === null) this.sent.delete(id);
    }
  }

  /** What all gateways may send a cold endpoint; `null` if that is not limited. */
  private findLimit({
    service,
  }: EndpointEntry): {total: number; windowMs: number} | null {
    const {bounds, findColdStart} = this.options;
    if (!bounds) return null;
    const coldStart = findColdStart(service);
    if (!coldStart) return null;
    const bound = coldStart.perSecond * bounds.excess + bounds.extra;
    const total = Math.max(1, Math.floor(bound * DIVIDED_SHARE));
    // A bound below one request a second stretches the window.
    return {total, windowMs: WINDOW_MS * Math.max(1, 1 / bound)};
  }

  private getSent({id, startedAtMs}: EndpointEntry): SentRequests {
    const known = this.sent.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    const next: SentRequests = {startedAtMs, times: [], units: null};
    this.sent.set(id, next);
    return next;
  }

  private getUnits(
    {id, dataCentre}: EndpointEntry,
    sent: SentRequests,
    total: number,
  ): Units {
    const {address, findRegion} = this.options;
    const gateways = this.options.gateways.listGateways();
    const known = sent.units;
    const isIdle = this.options.demand.mayCountIdle;
    const isSame = known?.gateways === gateways && known.isIdle === isIdle;
    if (isSame && known.total === total) return known;
    const region = findRegion(dataCentre) ?? '';
    const positions = computeUnits({
      gateways,
      address,
      endpoint: {id, dataCentre, region},
      isIdle,
      total,
    });
    sent.units = {gateways, isIdle, total, positions};
    return sent.units;
  }
}
