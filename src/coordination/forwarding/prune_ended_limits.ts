/** Drops limits of endpoint starts that have ended. */
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** How long a limit of an endpoint that is not listed is retained. */
const EXPIRE_AFTER_MS = 60_000;

/** A limit as observed for one start of an endpoint. */
export interface ObservedLimit {
  readonly startedAtMs: number;
  /** On the monotonic clock. */
  readonly observedAt: number;
}

/** Limits by the id of their endpoint. */
export interface ObservedLimits extends Iterable<[string, ObservedLimit]> {
  delete(id: string): unknown;
}

export interface PruneEndedLimitsOptions {
  /** The time on the monotonic clock. */
  readonly nowMs: number;
  /** Finds an endpoint as last reported; `null` when it is unknown. */
  readonly findEndpoint: (id: string) => EndpointEntry | null;
}

/**
 * Drops limits whose endpoint has started anew since, and those of endpoints
 * that are unknown for a minute: reports may arrive after an answer.
 */
export function pruneEndedLimits(
  limits: ObservedLimits,
  {nowMs, findEndpoint}: PruneEndedLimitsOptions,
): void {
  for (const [id, {startedAtMs, observedAt}] of limits) {
    const endpoint = findEndpoint(id);
    const isOver = endpoint
      ? endpoint.startedAtMs > startedAtMs
      : observedAt < nowMs - EXPIRE_AFTER_MS;
    if (isOver) limits.delete(id);
  }
}
