/**
 * Remembers which engine was asked to read which shared prompt for which model:
 * it need not read that again while it keeps it.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';

/** How long an engine is taken to keep a prompt that is not asked for. */
const KEPT_MS = 20_000;

/** The most prompts that are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED = 8_192;

export class PromptMemory {
  /** When each was last asked for, the longest ago first. */
  private readonly askedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes that an engine reads a prompt. */
  record(endpoint: EndpointEntry, model: string | null, subject: string): void {
    const key = createKey(endpoint, model, subject);
    this.askedAt.delete(key);
    this.askedAt.set(key, this.clock.monotonic());
    if (this.askedAt.size <= MAX_REMEMBERED) return;
    for (const oldest of this.askedAt.keys()) {
      this.askedAt.delete(oldest);
      return;
    }
  }

  /** Whether an engine keeps a prompt as far as this gateway knows. */
  has(endpoint: EndpointEntry, model: string | null, subject: string): boolean {
    const at = this.askedAt.get(createKey(endpoint, model, subject));
    return at !== undefined && at > this.clock.monotonic() - KEPT_MS;
  }
}

function createKey(
  {id, startedAtMs}: EndpointEntry,
  model: string | null,
  subject: string,
): string {
  return `${id}\n${startedAtMs}\n${model}\n${subject}`;
}
