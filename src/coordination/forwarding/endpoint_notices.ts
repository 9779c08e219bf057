/**
 * Notices that endpoints give in their answers: that they are shutting down, or
 * that they request a back-off.
 *
 * A notice applies to one start of an endpoint and overrides the endpoint
 * table: it stays in force while the gateway is cut off from the core, and a
 * late report of the same start does not clear it.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {LeavingEndpoint} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';

/** The longest back-off that an endpoint can request. */
const MAX_BACKOFF_MS = 600_000;

/** The back-off for a negative or unreadable time. */
const DEFAULT_BACKOFF_MS = 1_000;

/** What an answer reports about its endpoint. */
export interface EndpointNotice {
  /** Whether the endpoint is shutting down. */
  readonly isLeaving: boolean;
  /**
   * The requested back-off, in ms; `NaN` when it could not be parsed, `null`
   * when none was requested.
   */
  readonly quietMs: number | null;
}

interface RecordedNotice {
  readonly startedAtMs: number;
  isLeaving: boolean;
  /** On the monotonic clock. */
  backoffUntil: number;
}

export interface EndpointNoticesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

export class EndpointNotices {
  private readonly recorded = new Map<string, RecordedNotice>();

  constructor(private readonly options: EndpointNoticesOptions) {}

  /** Records the notice of an answer. */
  record(endpoint: EndpointEntry, {isLeaving, quietMs}: EndpointNotice): void {
    if (isLeaving) this.recordLeaving(endpoint);
    if (quietMs !== null) this.recordBackoff(endpoint, quietMs);
  }

  /** Whether the endpoint's notices allow sending it requests. */
  mayReceive(endpoint: EndpointEntry): boolean {
    return !this.isLeaving(endpoint) && this.getBackoffMs(endpoint) === 0;
  }

  isLeaving(endpoint: EndpointEntry): boolean {
    return this.find(endpoint)?.isLeaving ?? false;
  }

  /** The rest of the requested back-off, in ms. */
  getBackoffMs(endpoint: EndpointEntry): number {
    const until = this.find(endpoint)?.backoffUntil ?? -Infinity;
    return Math.max(0, until - this.options.clock.monotonic());
  }

  /** Lists the starts of endpoints that reported shutting down. */
  listLeaving(): LeavingEndpoint[] {
    return [...this.recorded]
      .filter(([, {isLeaving}]) => isLeaving)
      .map(([id, {startedAtMs}]) => ({id, startedAtMs}));
  }

  /** Drops notices of starts that have ended: another is known, or none. */
  pruneEnded(find: (id: string) => EndpointEntry | null): void {
    for (const [id, {startedAtMs}] of this.recorded) {
      if (find(id)?.startedAtMs !== startedAtMs) this.recorded.delete(id);
    }
  }

  private recordLeaving(endpoint: EndpointEntry): void {
    const recorded = this.getOrCreate(endpoint);
    if (recorded.isLeaving) return;
    recorded.isLeaving = true;
    const {id, address, startedAtMs} = endpoint;
    this.options.logger.info(
      'Stops sending requests to an endpoint: it is shutting down.',
      {
        endpoint: id,
        address,
        startedAtMs,
      },
    );
  }

  private recordBackoff(endpoint: EndpointEntry, requestedMs: number): void {
    const {clock, logger} = this.options;
    const isInRange = requestedMs >= 0 && requestedMs <= MAX_BACKOFF_MS;
    const quietMs = isInRange ? requestedMs : resolveBackoffMs(requestedMs);
    const recorded = this.getOrCreate(endpoint);
    const until = clock.monotonic() + quietMs;
    // Answers can arrive out of order, so the longest back-off applies.
    recorded.backoffUntil = Math.max(recorded.backoffUntil, until);
    const fields = {endpoint: endpoint.id, address: endpoint.address, quietMs};
    if (isInRange) logger.info('Backs off as an endpoint requested.', fields);
    else logger.warn('Limits a back-off with an invalid time.', fields);
  }

  private find({id, startedAtMs}: EndpointEntry): RecordedNotice | null {
    const recorded = this.recorded.get(id);
    return recorded && recorded.startedAtMs >= startedAtMs ? recorded : null;
  }

  private getOrCreate(endpoint: EndpointEntry): RecordedNotice {
    const known = this.find(endpoint);
    if (known) return known;
    const {id, startedAtMs} = endpoint;
    const fresh = {startedAtMs, isLeaving: false, backoffUntil: -Infinity};
    this.recorded.set(id, fresh);
    return fresh;
  }
}

/** Returns the back-off to apply for a requested time that is out of range. */
function resolveBackoffMs(requestedMs: number): number {
  return requestedMs > MAX_BACKOFF_MS ? MAX_BACKOFF_MS : DEFAULT_BACKOFF_MS;
}
