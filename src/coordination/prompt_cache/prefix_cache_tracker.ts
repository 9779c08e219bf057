/**
 * Tracks which engine has which shared prompt prefix cached for which model, by
 * the requests that this gateway sent.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** How long a prefix is assumed to stay cached after its last request. */
const CACHED_FOR_MS = 20_000;

/** Maximum number of tracked prefixes; the least recently used is evicted. */
const MAX_ENTRIES = 8_192;

export class PrefixCacheTracker {
  /** When each prefix was last requested, least recent first. */
  private readonly lastRequestedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that an engine prefills a prefix. */
  record(
    endpoint: EndpointEntry,
    model: string | null,
    prefixId: string,
  ): void {
    const key = createKey(endpoint, model, prefixId);
    this.lastRequestedAt.delete(key);
    this.lastRequestedAt.set(key, this.clock.monotonic());
    if (this.lastRequestedAt.size <= MAX_ENTRIES) return;
    for (const oldest of this.lastRequestedAt.keys()) {
      this.lastRequestedAt.delete(oldest);
      return;
    }
  }

  /** Whether an engine is assumed to have a prefix cached. */
  has(
    endpoint: EndpointEntry,
    model: string | null,
    prefixId: string,
  ): boolean {
    const at = this.lastRequestedAt.get(createKey(endpoint, model, prefixId));
    return at !== undefined && at > this.clock.monotonic() - CACHED_FOR_MS;
  }
}

function createKey(
  {id, startedAtMs}: EndpointEntry,
  model: string | null,
  prefixId: string,
): string {
  return `${id}\n${startedAtMs}\n${model}\n${prefixId}`;
}
