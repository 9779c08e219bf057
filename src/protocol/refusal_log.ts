/** Logs refused entries: each kind once in a while, and few kinds at a time. */
import type {Clock} from './clock.ts';
import type {LogFields, Logger} from './logger.ts';
import type {DroppedEntry} from './parse_message.ts';

/** After this time an entry of the same kind is logged again. */
const REPEAT_MS = 60_000;

/** The most lines within that time; kinds may contain names of the sender. */
const MAX_KINDS = 32;

export interface RefusalLogOptions {
  readonly clock: Pick<Clock, 'monotonic'>;
  readonly logger: Logger;
}

export class RefusalLog {
  /** When each kind was logged, the oldest first, on the monotonic clock. */
  private readonly loggedAt = new Map<string, number>();

  constructor(private readonly options: RefusalLogOptions) {}

  /** Logs a refusal unless one of its kind was logged recently. */
  record(message: string, kind: string, fields: LogFields = {}): void {
    const now = this.options.clock.monotonic();
    for (const [known, at] of this.loggedAt) {
      if (now - at < REPEAT_MS) break;
      this.loggedAt.delete(known);
    }
    const key = `${message}\n${kind}`;
    if (this.loggedAt.has(key) || this.loggedAt.size >= MAX_KINDS) return;
    this.loggedAt.set(key, now);
    this.options.logger.warn(message, fields);
  }

  /** Logs the entries that were dropped from a message. */
  recordDropped(source: string, dropped: readonly DroppedEntry[]): void {
    for (const {list, reason} of dropped) {
      this.record('Drops an invalid entry of a list.', `${source} ${reason}`, {
        source,
        list,
        reason,
      });
    }
  }
}
