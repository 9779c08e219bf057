/**
 * Which services this gateway reaches, as its own attempts show.
 *
 * The path to a service counts as lost once connections to each of its ready
 * endpoints failed and none answered since. That says nothing of the endpoints:
 * the gateway's own links may be broken. It only logs and counts.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';

/** How long a failed connection speaks for a lost path, in ms. */
const FAILURE_MS = 10_000;

/** Endpoints that a log line names at most. */
const MAX_LOGGED = 8;

/** Endpoints whose contacts are retained. */
const MAX_CONTACTS = 4_096;

export interface ReachabilityOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Lists the endpoints of a service that are not gone. */
  readonly listEndpoints: (service: string) => readonly EndpointEntry[];
}

/** What attempts showed of one start of an endpoint, on the monotonic clock. */
interface Contact {
  readonly startedAtMs: number;
  answeredAt: number;
  failedAt: number;
}

export class Reachability {
  private readonly contacts = new Map<string, Contact>();
  /** When the path to a service was lost. */
  private readonly lostAt = new Map<string, number>();

  constructor(private readonly options: ReachabilityOptions) {}

  /** Records that an endpoint answered, whatever it answered. */
  recordAnswer(endpoint: EndpointEntry): void {
    const {clock, logger, metrics} = this.options;
    const now = clock.monotonic();
    this.get(endpoint).answeredAt = now;
    const {service} = endpoint;
    const lostAt = this.lostAt.get(service);
    if (lostAt === undefined) return;
    this.lostAt.delete(service);
    metrics.gauge('service_path', 1, {service});
    logger.info('Finds the path to a service again.', {
      service,
      endpoint: endpoint.id,
      lostMs: Math.round(now - lostAt),
    });
  }

  /** Records that a connection to an endpoint was refused or broke off. */
  recordFailure(endpoint: EndpointEntry): void {
    const {clock, logger, metrics} = this.options;
    const now = clock.monotonic();
    this.get(endpoint).failedAt = now;
    const {service} = endpoint;
    if (this.lostAt.has(service) || !this.hasFailed(service)) return;
    this.lostAt.set(service, now);
    metrics.gauge('service_path', 0, {service});
    const evidence = this.listReady(service).map(each => {
      const {failedAt, answeredAt} = this.get(each);
      return {
        endpoint: each.id,
        failedMs: Math.round(now - failedAt),
        answeredMs:
          answeredAt === -Infinity ? null : Math.round(now - answeredAt),
      };
    });
    logger.warn('Loses the path to a service: no endpoint can be reached.', {
      service,
      endpoints: evidence.length,
      evidence: evidence.slice(0, MAX_LOGGED),
    });
  }

  /** Whether the path to a service is lost. */
  isLost(service: string): boolean {
    return this.lostAt.has(service);
  }

  /** Whether connections to all ready endpoints failed since they answered. */
  private hasFailed(service: string): boolean {
    const oldest = this.options.clock.monotonic() - FAILURE_MS;
    const ready = this.listReady(service);
    return (
      ready.length > 0 &&
      ready.every(each => {
        const {failedAt, answeredAt} = this.get(each);
        return failedAt > answeredAt && failedAt >= oldest;
      })
    );
  }

  private listReady(service: string): EndpointEntry[] {
    return this.options
      .listEndpoints(service)
      .filter(({state, silent}) => state === 'ready' && !silent);
  }

  private get({id, startedAtMs}: EndpointEntry): Contact {
    const known = this.contacts.get(id);
    if (known?.startedAtMs === startedAtMs) return known;
    const fresh = {startedAtMs, answeredAt: -Infinity, failedAt: -Infinity};
    this.contacts.set(id, fresh);
    if (this.contacts.size > MAX_CONTACTS) {
      const [oldest] = this.contacts.keys();
      if (oldest !== undefined) this.contacts.delete(oldest);
    }
    return fresh;
  }
}
