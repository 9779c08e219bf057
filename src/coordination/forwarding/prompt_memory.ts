/**
 * Remembers which engine was asked to read which shared prompt for which model:
 * it need not read that again while it keeps it.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** How long an engine is taken to keep a prompt that is not asked for. */
const CACHED_FOR_MS = 20_000;

/** The most prompts that are remembered; the oldest are forgotten first. */
const MAX_ENTRIES = 8_192;

export class PrefixCacheTracker {
  /** When each was last asked for, the longest ago first. */
  private readonly lastRequestedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes that an engine reads a prompt. */
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

  /** Whether an engine keeps a prompt as far as this gateway knows. */
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
