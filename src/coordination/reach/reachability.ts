/**
 * Which services this gateway reaches, as its own attempts and probes show.
 *
 * The path to a service counts as lost once connections to each of its ready
 * endpoints failed and none answered since, or once probes of some of them all
 * failed. That says nothing of the endpoints: the gateway's own links may be
 * broken. Probes are sent after a failure, while requests get no answer, and
 * while the path is lost; otherwise none.
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

/** Endpoints that are probed at once, and the timeout of a probe. */
const MAX_PROBED = 6;
const PROBE_TIMEOUT_MS = 900;

/** The least time between two rounds of probes of one service. */
const PROBE_INTERVAL_MS = 400;

/** The same while the path is lost. */
const LOST_PROBE_INTERVAL_MS = 250;

/** How long open requests may get no answer until endpoints are probed. */
const SILENT_MS = 700;

/** How often that is checked while requests are open. */
const CHECK_INTERVAL_MS = 350;

/** The least time from one loss of a path to the next. */
const MIN_CHANGE_MS = 1_000;

export interface ReachabilityOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Lists the endpoints of a service that are not gone. */
  readonly listEndpoints: (service: string) => readonly EndpointEntry[];
  /** Opens a connection and closes it; whether that succeeded in time. */
  readonly probe: (address: string, timeoutMs: number) => Promise<boolean>;
  /** Called when the path to a service is back. */
  readonly onFound?: (service: string) => void;
}

/** What attempts showed of one start of an endpoint, on the monotonic clock. */
interface Contact {
  readonly startedAtMs: number;
  answeredAt: number;
  failedAt: number;
}

/** What is known of the path to one service, on the monotonic clock. */
interface Path {
  /** `null` while it is not lost. */
  lostAt: number | null;
  changedAt: number;
  /** When any endpoint answered, or the first open request was sent. */
  answeredAt: number;
  open: number;
  isWatched: boolean;
  isProbing: boolean;
  probedAt: number;
}

export class Reachability {
  private readonly contacts = new Map<string, Contact>();
  private readonly paths = new Map<string, Path>();

  constructor(private readonly options: ReachabilityOptions) {}

  /** Counts an open request to a service; dispose the result when it ends. */
  open(service: string): Disposable {
    const path = this.getPath(service);
    if (path.open === 0) path.answeredAt = this.options.clock.monotonic();
    path.open++;
    if (!path.isWatched) void this.watch(service, path);
    let isClosed = false;
    return {
      [Symbol.dispose]() {
        if (!isClosed) path.open--;
        isClosed = true;
      },
    };
  }

  /** Records that an endpoint answered, whatever it answered. */
  recordAnswer(endpoint: EndpointEntry): void {
    const now = this.options.clock.monotonic();
    this.getContact(endpoint).answeredAt = now;
    const path = this.getPath(endpoint.service);
    path.answeredAt = now;
    if (path.lostAt !== null) this.recordFound(path, endpoint);
  }

  /** Records that a connection to an endpoint was refused or broke off. */
  recordFailure(endpoint: EndpointEntry): void {
    const {service} = endpoint;
    this.getContact(endpoint).failedAt = this.options.clock.monotonic();
    const path = this.getPath(service);
    if (path.lostAt !== null) return;
    const ready = this.listReady(service);
    if (this.hasFailed(ready)) this.recordLost(service, path, ready);
    else void this.testSome(service, path);
  }

  /** Whether the path to a service is lost. */
  isLost(service: string): boolean {
    return (this.paths.get(service)?.lostAt ?? null) !== null;
  }

  private recordFound(path: Path, {service, id}: EndpointEntry): void {
    const {clock, logger, metrics, onFound} = this.options;
    const now = clock.monotonic();
    const lostMs = Math.round(now - (path.lostAt ?? now));
    path.lostAt = null;
    path.changedAt = now;
    metrics.gauge('service_path', 1, {service});
    logger.info('Finds the path to a service again.', {
      service,
      endpoint: id,
      lostMs,
    });
    onFound?.(service);
  }

  private recordLost(
    service: string,
    path: Path,
    tried: readonly EndpointEntry[],
  ): void {
    const {clock, logger, metrics} = this.options;
    const now = clock.monotonic();
    if (now - path.changedAt < MIN_CHANGE_MS) return;
    path.lostAt = now;
    path.changedAt = now;
    metrics.gauge('service_path', 0, {service});
    const evidence = tried.slice(0, MAX_LOGGED).map(each => {
      const {failedAt, answeredAt} = this.getContact(each);
      return {
        endpoint: each.id,
        failedMs: Math.round(now - failedAt),
        answeredMs:
          answeredAt === -Infinity ? null : Math.round(now - answeredAt),
      };
    });
    logger.warn('Loses the path to a service: no endpoint can be reached.', {
      service,
      endpoints: tried.length,
      evidence,
    });
    void this.testWhileLost(service, path);
  }

  /** Probes endpoints when open requests get no answer for a while. */
  private async watch(service: string, path: Path): Promise<void> {
    const {clock} = this.options;
    path.isWatched = true;
    while (path.open > 0) {
      await clock.sleep(CHECK_INTERVAL_MS);
      const silentMs = clock.monotonic() - path.answeredAt;
      if (path.open > 0 && silentMs > SILENT_MS) {
        await this.testSome(service, path);
      }
    }
    path.isWatched = false;
  }

  private async testWhileLost(service: string, path: Path): Promise<void> {
    while (path.lostAt !== null) {
      await this.options.clock.sleep(LOST_PROBE_INTERVAL_MS);
      if (path.lostAt !== null) await this.testSome(service, path);
    }
  }

  /** Probes some endpoints, at most once an interval. */
  private async testSome(service: string, path: Path): Promise<void> {
    const {clock, probe} = this.options;
    const startedAt = clock.monotonic();
    const intervalMs =
      path.lostAt === null ? PROBE_INTERVAL_MS : LOST_PROBE_INTERVAL_MS;
    if (path.isProbing || startedAt - path.probedAt < intervalMs) return;
    const probed = this.drawEndpoints(service);
    if (probed.length === 0) return;
    path.isProbing = true;
    path.probedAt = startedAt;
    const results = await Promise.all(
      probed.map(({address}) => probe(address, PROBE_TIMEOUT_MS)),
    );
    path.isProbing = false;
    const now = clock.monotonic();
    results.forEach((isReached, index) => {
      const endpoint = probed[index];
      if (!endpoint) return;
      const contact = this.getContact(endpoint);
      if (!isReached) contact.failedAt = now;
      // That a connection opens shows less than an answer.
      if (!isReached || path.lostAt === null) return;
      contact.answeredAt = now;
      this.recordFound(path, endpoint);
    });
    const isAnswered = results.includes(true) || path.answeredAt > startedAt;
    if (!isAnswered && path.lostAt === null) {
      this.recordLost(service, path, probed);
    }
  }

  private drawEndpoints(service: string): EndpointEntry[] {
    const {random} = this.options;
    return this.listReady(service)
      .map(endpoint => ({endpoint, rank: random()}))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, MAX_PROBED)
      .map(({endpoint}) => endpoint);
  }

  /** Whether connections to all endpoints failed since they answered. */
  private hasFailed(endpoints: readonly EndpointEntry[]): boolean {
    const oldest = this.options.clock.monotonic() - FAILURE_MS;
    return (
      endpoints.length > 0 &&
      endpoints.every(each => {
        const {failedAt, answeredAt} = this.getContact(each);
        return failedAt > answeredAt && failedAt >= oldest;
      })
    );
  }

  private listReady(service: string): EndpointEntry[] {
    return this.options
      .listEndpoints(service)
      .filter(({state, silent}) => state === 'ready' && !silent);
  }

  private getPath(service: string): Path {
    const known = this.paths.get(service);
    if (known) return known;
    const path: Path = {
      lostAt: null,
      changedAt: -Infinity,
      answeredAt: -Infinity,
      open: 0,
      isWatched: false,
      isProbing: false,
      probedAt: -Infinity,
    };
    this.paths.set(service, path);
    return path;
  }

  private getContact({id, startedAtMs}: EndpointEntry): Contact {
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
