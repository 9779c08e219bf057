/**
 * Keeps all gateways together within the limits that endpoints name.
 *
 * An endpoint may name the requests per second that it accepts from all
 * gateways together. Gateways tell each other through the core which limits
 * they saw named or ended. Each computes its own share from the list of
 * gateways, so that no request waits for another process. A small limit is
 * divided among a few gateways only: each of them may send a request at any
 * moment, and if all do so at once, these requests must be within the limit.
 *
 * A limit applies to one start of an endpoint until an answer names none. A
 * gateway that is cut off keeps the limits and the list that it knows.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointLimit} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import {computeShare} from './hash.ts';
import {pruneEndedLimits} from './prune_ended_limits.ts';
import type {RecentGateways} from './recent_gateways.ts';
import {ReturnSchedule} from './return_schedule.ts';

/** Gateways with a share of a limit, in addition to one per request a second. */
const EXTRA_HOLDERS = 3;

/** The part of a limit that is used; the rest covers requests under way. */
const USED_SHARE = 0.9;

/**
 * The lowest limit that is applied. A few requests must reach the endpoint to
 * show when its limit ends.
 */
const MIN_PER_SECOND = 0.2;

/** Requests of a second that a gateway may send at once, one at least. */
const BURST_S = 1;

/** How long an own observation is reported to the core. */
const REPORT_WITHIN_MS = 10_000;

/**
 * The transfer time by which ages of other gateways' observations may be too
 * low. The end of a limit counts as older by this.
 */
const RELAY_MARGIN_MS = 1_000;

/** An endpoint's statement on its limit, in one answer. */
export interface LimitNotice {
  /** The named limit; `NaN` when it could not be parsed, `null` for none. */
  readonly limitPerSecond: number | null;
  /** Whether the answer is known to be the endpoint's own. */
  readonly isVerified: boolean;
  /** When its request was sent, on the monotonic clock. */
  readonly sentAt: number;
}

interface KnownLimit {
  readonly startedAtMs: number;
  /** `null` once the endpoint names no limit any more. */
  readonly perSecond: number | null;
  /** When that was observed, on the monotonic clock. */
  readonly observedAt: number;
  /** When this gateway itself last observed it, on the monotonic clock. */
  readonly ownObservedAt: number;
  readonly bucket: TokenBucket;
  share: LimitShare;
}

/** The part of a limit that this gateway may use. */
interface LimitShare {
  /** The gateways among which the limit was divided. */
  readonly gateways: readonly string[];
  readonly perSecond: number;
}

/** The requests that this gateway may send to an endpoint now. */
interface TokenBucket {
  tokens: number;
  updatedAt: number;
  perSecond: number;
}

export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** The address of this gateway in the list. */
  readonly address: string;
  readonly gateways: RecentGateways;
}

export class EndpointLimits {
  private readonly known = new Map<string, KnownLimit>();
  private readonly returns: ReturnSchedule;

  constructor(private readonly options: EndpointLimitsOptions) {
    this.returns = new ReturnSchedule(options);
  }

  /** Records what an answer says of the limit of its endpoint. */
  record(endpoint: EndpointEntry, notice: LimitNotice): void {
    const {clock, logger} = this.options;
    const {limitPerSecond, isVerified, sentAt} = notice;
    const {id, address, startedAtMs} = endpoint;
    if (limitPerSecond !== null && !(limitPerSecond >= 0)) {
      logger.warn('Ignores an invalid limit of an endpoint.', {
        endpoint: id,
        address,
      });
      return;
    }
    const known = this.find(endpoint);
    if (known && known.startedAtMs > startedAtMs) return;
    // Answers to requests sent before the limit was named may arrive late.
    const isEnd = limitPerSecond === null;
    if (isEnd && !(known && isVerified && sentAt > known.observedAt)) return;
    const now = clock.monotonic();
    this.set(id, {
      startedAtMs,
      perSecond: limitPerSecond,
      observedAt: isEnd ? sentAt : now,
      ownObservedAt: now,
      from: 'its answer',
    });
  }

  /** Merges the limits that other gateways observed, as relayed by the core. */
  recordRelayed(limits: readonly EndpointLimit[]): void {
    const now = this.options.clock.monotonic();
    for (const {id, startedAtMs, perSecond, ageMs} of limits) {
      const marginMs = perSecond === null ? RELAY_MARGIN_MS : 0;
      const observedAt = now - ageMs - marginMs;
      const known = this.known.get(id);
      if (known && known.startedAtMs > startedAtMs) continue;
      const isSameStart = known?.startedAtMs === startedAtMs;
      if (isSameStart && known.observedAt >= observedAt) continue;
      this.set(id, {
        startedAtMs,
        perSecond,
        observedAt,
        ownObservedAt: isSameStart ? known.ownObservedAt : -Infinity,
        from: 'the core',
      });
    }
  }

  /** Lists what this gateway observed lately, to report it to the core. */
  listObserved(): EndpointLimit[] {
    const now = this.options.clock.monotonic();
    return [...this.known]
      .filter(([, each]) => now - each.ownObservedAt <= REPORT_WITHIN_MS)
      .map(([id, {startedAtMs, perSecond, observedAt}]) => ({
        id,
        startedAtMs,
        perSecond,
        ageMs: now - observedAt,
      }));
  }

  /** Drops limits of starts that have ended, as far as the list shows it. */
  pruneEnded(findEndpoint: (id: string) => EndpointEntry | null): void {
    const nowMs = this.options.clock.monotonic();
    pruneEndedLimits(this.known, {nowMs, findEndpoint});
  }

  /** Whether this gateway may send the endpoint a request now. */
  hasRoom(endpoint: EndpointEntry): boolean {
    const known = this.find(endpoint);
    if (!known || known.perSecond === null) return true;
    return this.refill(endpoint.id, known).tokens >= 1;
  }

  /** Takes room for one request; false if there is none. */
  tryTake(endpoint: EndpointEntry, attempt: 'first' | 'further'): boolean {
    const known = this.find(endpoint);
    if (!known || known.perSecond === null) return true;
    const bucket = this.refill(endpoint.id, known);
    const hasRoom = bucket.tokens >= 1;
    if (hasRoom) bucket.tokens--;
    this.options.metrics.count('limited_attempts', 1, {
      service: endpoint.service,
      attempt,
      outcome: hasRoom ? 'sent' : 'withheld',
    });
    return hasRoom;
  }

  /**
   * Plans when a refused caller should return, in ms from now; `null` if none
   * of the endpoints has a limit. Callers are told different times, at the rate
   * of this gateway's part of the limits, since any gateway may get them back.
   */
  planReturnMs(
    service: string,
    endpoints: readonly EndpointEntry[],
  ): number | null {
    const perSecond = endpoints
      .map(each => this.find(each)?.perSecond ?? null)
      .filter(each => each !== null)
      .reduce((sum, each) => sum + Math.max(each, MIN_PER_SECOND), 0);
    if (perSecond === 0) return null;
    const count = this.options.gateways.count();
    return this.returns.planMs(service, {perSecond: perSecond / count});
  }

  private set(
    id: string,
    {
      from,
      ...next
    }: Omit<KnownLimit, 'bucket' | 'share'> & {
      readonly from: 'its answer' | 'the core';
    },
  ): void {
    const {clock, logger, random} = this.options;
    const previous = this.known.get(id);
    const isSameStart = previous?.startedAtMs === next.startedAtMs;
    const now = clock.monotonic();
    const isLimited = isSameStart && previous.perSecond !== null;
    const bucket = isLimited
      ? previous.bucket
      : // Random, so that the gateways do not send at the same moments.
        {tokens: random(), updatedAt: now, perSecond: 0};
    const share = this.computeOwnShare(id, next.perSecond ?? 0);
    this.known.set(id, {...next, bucket, share});
    const previousPerSecond = isSameStart ? previous.perSecond : null;
    if (previousPerSecond === next.perSecond) return;
    logger.info('Records a new limit of an endpoint.', {
      endpoint: id,
      startedAtMs: next.startedAtMs,
      perSecond: next.perSecond,
      previous: previousPerSecond,
      sharePerSecond: next.perSecond === null ? null : share.perSecond,
      gateways: share.gateways.length,
      ageMs: Math.round(now - next.observedAt),
      from,
    });
  }

  /** Adds the tokens for the time that has passed. */
  private refill(id: string, known: KnownLimit): TokenBucket {
    const {perSecond, bucket} = known;
    const now = this.options.clock.monotonic();
    if (known.share.gateways !== this.options.gateways.list()) {
      known.share = this.computeOwnShare(id, perSecond ?? 0);
    }
    const share = known.share.perSecond;
    const passedS = (now - bucket.updatedAt) / 1_000;
    // The lower share counts: the time of a change is not known.
    const added = passedS * Math.min(share, bucket.perSecond);
    const burst = share > 0 ? Math.max(1, share * BURST_S) : 0;
    bucket.tokens = Math.min(burst, bucket.tokens + added);
    bucket.updatedAt = now;
    bucket.perSecond = share;
    return bucket;
  }

  /** Computes the requests per second that this gateway may send. */
  private computeOwnShare(id: string, limitPerSecond: number): LimitShare {
    const {address} = this.options;
    const gateways = this.options.gateways.list();
    const limit = Math.max(limitPerSecond, MIN_PER_SECOND);
    const holderCount = Math.min(
      gateways.length,
      Math.floor(limit) + EXTRA_HOLDERS,
    );
    const getRank = (each: string) => computeShare(`${each}/${id}`);
    const ownRank = getRank(address);
    const isHolder =
      this.options.gateways.isListed(address) &&
      gateways.filter(each => getRank(each) > ownRank).length < holderCount;
    const perSecond = isHolder ? (limit * USED_SHARE) / holderCount : 0;
    return {gateways, perSecond};
  }

  private find({id, startedAtMs}: EndpointEntry): KnownLimit | null {
    const known = this.known.get(id);
    return known && known.startedAtMs >= startedAtMs ? known : null;
  }
}
