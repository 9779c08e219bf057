/**
 * Limits that endpoints name in their answers: the requests per second that an
 * endpoint accepts from all gateways together, for as long as it names one.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';

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
  perSecond: number | null;
  /** When that was observed, on the monotonic clock. */
  observedAt: number;
}

export interface EndpointLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export class EndpointLimits {
  private readonly known = new Map<string, KnownLimit>();

  constructor(private readonly options: EndpointLimitsOptions) {}

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
    if (limitPerSecond === null) {
      // Answers to requests sent before the limit was named may arrive late.
      if (!known || !isVerified || sentAt <= known.observedAt) return;
    }
    const perSecond = limitPerSecond;
    const observedAt = perSecond === null ? sentAt : clock.monotonic();
    this.known.set(id, {startedAtMs, perSecond, observedAt});
    if (perSecond === (known?.perSecond ?? null)) return;
    logger.info('Records a new limit of an endpoint.', {
      endpoint: id,
      address,
      perSecond,
      previous: known?.perSecond ?? null,
    });
  }

  /** Counts a request that is sent to an endpoint with a limit. */
  recordSend(endpoint: EndpointEntry, isFirst: boolean): void {
    const perSecond = this.find(endpoint)?.perSecond ?? null;
    if (perSecond === null) return;
    this.options.metrics.count('limited_sends', 1, {
      service: endpoint.service,
      attempt: isFirst ? 'first' : 'further',
    });
  }

  private find({id, startedAtMs}: EndpointEntry): KnownLimit | null {
    const known = this.known.get(id);
    return known && known.startedAtMs >= startedAtMs ? known : null;
  }
}
