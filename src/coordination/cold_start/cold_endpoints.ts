/**
 * Which endpoint starts are cold, and until when, as far as this gateway knows.
 *
 * Endpoints report the remaining time of their cold start to the core, which relays
 * it with its age taken off. An entry that is listed again does not begin that time
 * anew. An endpoint may also be assumed to be cold, until a later report of it says
 * otherwise or the assumed time has passed.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {ColdStart} from '../../protocol/route_table.ts';

/** Why an endpoint counts as cold. */
export type ColdCause = 'report' | 'silence' | 'drain';

export interface ColdEndpointsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** What the endpoints of a service bear; `null` if they are never cold. */
  readonly findColdStart: (service: string) => ColdStart | null;
  /**
   * Called when an endpoint turns cold that may have had requests before, after
   * `isCold()` tells it.
   */
  readonly onTurnedCold?: (endpoint: EndpointEntry) => void;
}

interface KnownStart {
  readonly startedAtMs: number;
  readonly sequence: number;
  /** When its cold start ends, on the monotonic clock. */
  readonly coldUntil: number;
  /** Whether that is assumed and not reported. */
  readonly isAssumed: boolean;
}

export class ColdEndpoints {
  private readonly known = new Map<string, KnownStart>();

  constructor(private readonly options: ColdEndpointsOptions) {}

  /** Records an entry of the core's list. */
  record(entry: EndpointEntry): void {
    const {id, startedAtMs, sequence, warmupMs} = entry;
    const known = this.known.get(id);
    if (known && known.startedAtMs > startedAtMs) return;
    const now = this.options.clock.monotonic();
    const assumedMs = entry.unconfirmed ? this.getDurationMs(entry) : 0;
    const isAssumed = assumedMs > warmupMs;
    const coldUntil = now + Math.max(warmupMs, assumedMs);
    const next = {startedAtMs, sequence, coldUntil, isAssumed};
    if (known?.startedAtMs === startedAtMs) {
      // Another core daemon may lag behind, or list the same report once more.
      if (known.sequence > sequence) return;
      const isListedAgain =
        known.sequence === sequence && (known.isAssumed || !isAssumed);
      if (isListedAgain && known.isAssumed) return;
      if (isListedAgain && known.coldUntil <= coldUntil) return;
    }
    this.set(entry, next, isAssumed ? 'silence' : 'report');
  }

  /**
   * Lets endpoints count as cold for `ms`, or until a later report of one says that
   * it is warm.
   */
  treatAsCold(endpoints: readonly EndpointEntry[], ms: number): void {
    const now = this.options.clock.monotonic();
    for (const endpoint of endpoints) {
      const {id, startedAtMs, sequence} = endpoint;
      const known = this.known.get(id);
      if (known && known.startedAtMs > startedAtMs) continue;
      const isSameStart = known?.startedAtMs === startedAtMs;
      const coldUntil = now + ms;
      if (isSameStart && known.coldUntil >= coldUntil) continue;
      const last = isSameStart ? Math.max(known.sequence, sequence) : sequence;
      const next = {startedAtMs, sequence: last, coldUntil, isAssumed: true};
      this.set(endpoint, next, 'drain');
    }
  }

  /** The remaining cold time of an endpoint start, in ms; 0 if it is warm. */
  getColdMs({id, startedAtMs}: EndpointEntry): number {
    const known = this.known.get(id);
    if (known?.startedAtMs !== startedAtMs) return 0;
    return Math.max(0, known.coldUntil - this.options.clock.monotonic());
  }

  /** The number of endpoints that count as cold now. */
  countCold(): number {
    const now = this.options.clock.monotonic();
    let count = 0;
    for (const {coldUntil} of this.known.values()) if (coldUntil > now) count++;
    return count;
  }

  /** Drops endpoints that are not listed any more. */
  prune(findEndpoint: (id: string) => EndpointEntry | null): void {
    for (const id of this.known.keys()) {
      if (findEndpoint(id) === null) this.known.delete(id);
    }
  }

  private set(entry: EndpointEntry, next: KnownStart, cause: ColdCause): void {
    const {clock, logger, metrics, onTurnedCold} = this.options;
    const now = clock.monotonic();
    const previous = this.known.get(entry.id);
    const isSameStart = previous?.startedAtMs === next.startedAtMs;
    const wasCold = isSameStart && previous.coldUntil > now;
    const isCold = next.coldUntil > now;
    this.known.set(entry.id, next);
    if (isCold === wasCold || this.getDurationMs(entry) === 0) return;
    const {id: endpoint, service, startedAtMs, dataCentre} = entry;
    const fields = {endpoint, service, startedAtMs, dataCentre};
    if (!isCold) {
      // Only endpoints that were cold until now, not all that are listed.
      logger.info('Learns that an endpoint is warm.', fields);
      return;
    }
    const coldMs = Math.round(next.coldUntil - now);
    logger.info('Learns that an endpoint is cold.', {...fields, coldMs, cause});
    metrics.count('cold_starts', 1, {service, cause});
    if (isSameStart) onTurnedCold?.(entry);
  }

  private getDurationMs({service}: EndpointEntry): number {
    return this.options.findColdStart(service)?.durationMs ?? 0;
  }
}
