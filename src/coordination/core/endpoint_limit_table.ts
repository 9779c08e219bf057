/**
 * The limits that endpoints named to any gateway, as one core daemon knows them.
 *
 * Observations of several gateways arrive late and in any order. The latest one
 * of the latest start of an endpoint counts.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointLimit} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {pruneEndedLimits} from '../forwarding/prune_ended_limits.ts';
import {RevisedMap} from '../revised_map.ts';

/** A limit that falls below this part of the known one is relayed at once. */
const URGENT_PART = 0.8;

/**
 * How often the end of a limit is relayed again, and after how long each time.
 * Gateways take an end for late if they heard of the limit about the same time,
 * and those without a share of it would not notice its end themselves.
 */
const END_REPEATS = 3;
const END_REPEAT_MS = 2_000;

interface KnownLimit {
  readonly startedAtMs: number;
  /** `null` once the endpoint names no limit any more. */
  readonly perSecond: number | null;
  /** On the monotonic clock. */
  readonly observedAt: number;
  /** When it was observed as it was relayed last, on the monotonic clock. */
  readonly relayedAt: number;
  /** How often its end was relayed again. */
  readonly repeats: number;
}

export interface EndpointLimitTableOptions {
  readonly clock: Clock;
}

export class EndpointLimitTable {
  private readonly known = new RevisedMap<KnownLimit>();
  private lastUrgentRevision = 0;

  constructor(private readonly options: EndpointLimitTableOptions) {}

  /** Increases with each change that gateways need to know. */
  get revision(): number {
    return this.known.revision;
  }

  /** The revision of the last change that must not wait: a lower limit. */
  get urgentRevision(): number {
    return this.lastUrgentRevision;
  }

  /**
   * Merges the observations of a gateway; returns whether a change is urgent.
   *
   * @param receivedAt When their ages were measured, on the monotonic clock.
   */
  merge(limits: readonly EndpointLimit[], receivedAt: number): boolean {
    const before = this.lastUrgentRevision;
    for (const limit of limits) this.mergeOne(limit, receivedAt);
    return this.lastUrgentRevision > before;
  }

  /** Lists the limits that changed after a revision; all by default. */
  list(after = 0): EndpointLimit[] {
    const now = this.options.clock.monotonic();
    return this.known
      .list(after)
      .map(([id, {startedAtMs, perSecond, observedAt}]) => ({
        id,
        startedAtMs,
        perSecond,
        ageMs: Math.max(0, now - observedAt),
      }));
  }

  /** Drops limits of starts that have ended. */
  pruneEnded(findEndpoint: (id: string) => EndpointEntry | null): void {
    const nowMs = this.options.clock.monotonic();
    pruneEndedLimits(this.known, {nowMs, findEndpoint});
  }

  private mergeOne(
    {id, startedAtMs, perSecond, ageMs}: EndpointLimit,
    receivedAt: number,
  ): void {
    const observedAt = receivedAt - ageMs;
    const known = this.known.get(id);
    if (known && known.startedAtMs > startedAtMs) return;
    const isSameStart = known?.startedAtMs === startedAtMs;
    if (isSameStart && known.observedAt >= observedAt) {
      // The gateway that reported it missed the later naming.
      const hasMissedLimit = perSecond === null && known.perSecond !== null;
      if (hasMissedLimit) this.markChanged(id, known);
      return;
    }
    const previous = isSameStart ? known.perSecond : null;
    const next = {startedAtMs, perSecond, observedAt};
    if (isSameStart && previous === perSecond) {
      this.known.replace(id, {...known, ...next});
      if (isRepeatDue({...known, ...next})) {
        this.markChanged(id, {...next, repeats: known.repeats + 1});
      }
      return;
    }
    this.markChanged(id, {...next, repeats: 0});
    if (perSecond === null) return;
    if (previous === null || perSecond < previous * URGENT_PART) {
      this.lastUrgentRevision = this.known.revision;
    }
  }

  private markChanged(id: string, limit: Omit<KnownLimit, 'relayedAt'>): void {
    this.known.set(id, {...limit, relayedAt: limit.observedAt});
  }
}

/** Whether the end of a limit must be relayed again. */
function isRepeatDue(limit: KnownLimit): boolean {
  const {perSecond, observedAt, relayedAt, repeats} = limit;
  return (
    perSecond === null &&
    repeats < END_REPEATS &&
    observedAt - relayedAt >= END_REPEAT_MS
  );
}
