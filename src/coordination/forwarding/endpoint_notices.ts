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
const MAX_QUIET_MS = 600_000;

/** How long an endpoint is left alone that gave no readable time. */
const DEFAULT_QUIET_MS = 1_000;

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

interface Noticed {
  readonly startedAtMs: number;
  isLeaving: boolean;
  /** On the monotonic clock. */
  quietUntil: number;
}

export interface EndpointNoticesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

export class EndpointNotices {
  private readonly noticed = new Map<string, Noticed>();

  constructor(private readonly options: EndpointNoticesOptions) {}

  /** Takes in what an answer says of its endpoint. */
  record(endpoint: EndpointEntry, {isLeaving, quietMs}: EndpointNotice): void {
    if (isLeaving) this.recordLeaving(endpoint);
    if (quietMs !== null) this.recordQuiet(endpoint, quietMs);
  }

  /** Whether the endpoint takes requests as far as it told. */
  mayReceive(endpoint: EndpointEntry): boolean {
    return !this.isLeaving(endpoint) && this.getQuietMs(endpoint) === 0;
  }

  isLeaving(endpoint: EndpointEntry): boolean {
    return this.find(endpoint)?.isLeaving ?? false;
  }

  /** How much longer it wants no requests, in ms. */
  getQuietMs(endpoint: EndpointEntry): number {
    const until = this.find(endpoint)?.quietUntil ?? -Infinity;
    return Math.max(0, until - this.options.clock.monotonic());
  }

  /** The starts of endpoints that said that they leave. */
  listLeaving(): LeavingEndpoint[] {
    return [...this.noticed]
      .filter(([, {isLeaving}]) => isLeaving)
      .map(([id, {startedAtMs}]) => ({id, startedAtMs}));
  }

  /** Forgets starts that have ended: another one is known, or none. */
  forgetEnded(find: (id: string) => EndpointEntry | null): void {
    for (const [id, {startedAtMs}] of this.noticed) {
      if (find(id)?.startedAtMs !== startedAtMs) this.noticed.delete(id);
    }
  }

  private recordLeaving(endpoint: EndpointEntry): void {
    const noticed = this.get(endpoint);
    if (noticed.isLeaving) return;
    noticed.isLeaving = true;
    const {id, address, startedAtMs} = endpoint;
    this.options.logger.info('An endpoint says that it leaves.', {
      endpoint: id,
      address,
      startedAtMs,
    });
  }

  private recordQuiet(endpoint: EndpointEntry, asked: number): void {
    const {clock, logger} = this.options;
    const isSound = asked >= 0 && asked <= MAX_QUIET_MS;
    const quietMs = isSound ? asked : boundQuiet(asked);
    const noticed = this.get(endpoint);
    const until = clock.monotonic() + quietMs;
    // Answers may overtake each other; the longest wish stands.
    noticed.quietUntil = Math.max(noticed.quietUntil, until);
    const fields = {endpoint: endpoint.id, address: endpoint.address, quietMs};
    if (isSound) logger.info('An endpoint wants no requests.', fields);
    else logger.warn('Bounds an absurd wish of an endpoint.', fields);
  }

  private find({id, startedAtMs}: EndpointEntry): Noticed | null {
    const noticed = this.noticed.get(id);
    return noticed && noticed.startedAtMs >= startedAtMs ? noticed : null;
  }

  private get(endpoint: EndpointEntry): Noticed {
    const known = this.find(endpoint);
    if (known) return known;
    const {id, startedAtMs} = endpoint;
    const fresh = {startedAtMs, isLeaving: false, quietUntil: -Infinity};
    this.noticed.set(id, fresh);
    return fresh;
  }
}

/** Replaces a time that makes no sense by one that does. */
function boundQuiet(asked: number): number {
  return asked > MAX_QUIET_MS ? MAX_QUIET_MS : DEFAULT_QUIET_MS;
}
