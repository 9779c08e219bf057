/**
 * What endpoints told this gateway in their answers: that they leave, or that
 * they want no requests for a while.
 *
 * A notice holds for one start of an endpoint and goes before any table: it
 * lasts while the gateway is cut off from the core, and a late report of the
 * same start does not lift it.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {LeavingEndpoint} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';

/** The longest time for which an endpoint is left alone at its word. */
const MAX_BACKOFF_MS = 600_000;

/** How long an endpoint is left alone that gave no readable time. */
const DEFAULT_BACKOFF_MS = 1_000;

/** What an answer says of the endpoint that gave it. */
export interface EndpointNotice {
  /** Whether the endpoint is about to leave. */
  readonly isLeaving: boolean;
  /**
   * How long it wants no requests, in ms; `NaN` when that could not be read,
   * `null` when it asks for nothing.
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

  /** Takes in what an answer says of its endpoint. */
  record(endpoint: EndpointEntry, {isLeaving, quietMs}: EndpointNotice): void {
    if (isLeaving) this.recordLeaving(endpoint);
    if (quietMs !== null) this.recordBackoff(endpoint, quietMs);
  }

  /** Whether the endpoint takes requests as far as it told. */
  mayReceive(endpoint: EndpointEntry): boolean {
    return !this.isLeaving(endpoint) && this.getBackoffMs(endpoint) === 0;
  }

  isLeaving(endpoint: EndpointEntry): boolean {
    return this.find(endpoint)?.isLeaving ?? false;
  }

  /** How much longer it wants no requests, in ms. */
  getBackoffMs(endpoint: EndpointEntry): number {
    const until = this.find(endpoint)?.backoffUntil ?? -Infinity;
    return Math.max(0, until - this.options.clock.monotonic());
  }

  /** The starts of endpoints that said that they leave. */
  listLeaving(): LeavingEndpoint[] {
    return [...this.recorded]
      .filter(([, {isLeaving}]) => isLeaving)
      .map(([id, {startedAtMs}]) => ({id, startedAtMs}));
  }

  /** Forgets starts that have ended: another one is known, or none. */
  forgetEnded(find: (id: string) => EndpointEntry | null): void {
    for (const [id, {startedAtMs}] of this.recorded) {
      if (find(id)?.startedAtMs !== startedAtMs) this.recorded.delete(id);
    }
  }

  private recordLeaving(endpoint: EndpointEntry): void {
    const recorded = this.getOrCreate(endpoint);
    if (recorded.isLeaving) return;
    recorded.isLeaving = true;
    const {id, address, startedAtMs} = endpoint;
    this.options.logger.info('An endpoint says that it leaves.', {
      endpoint: id,
      address,
      startedAtMs,
    });
  }

  private recordBackoff(endpoint: EndpointEntry, requestedMs: number): void {
    const {clock, logger} = this.options;
    const isInRange = requestedMs >= 0 && requestedMs <= MAX_BACKOFF_MS;
    const quietMs = isInRange ? requestedMs : resolveBackoffMs(requestedMs);
    const recorded = this.getOrCreate(endpoint);
    const until = clock.monotonic() + quietMs;
    // Answers may overtake each other; the longest wish stands.
    recorded.backoffUntil = Math.max(recorded.backoffUntil, until);
    const fields = {endpoint: endpoint.id, address: endpoint.address, quietMs};
    if (isInRange) logger.info('An endpoint wants no requests.', fields);
    else logger.warn('Bounds an absurd wish of an endpoint.', fields);
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

/** Replaces a time that makes no sense by one that does. */
function resolveBackoffMs(requestedMs: number): number {
  return requestedMs > MAX_BACKOFF_MS ? MAX_BACKOFF_MS : DEFAULT_BACKOFF_MS;
}
