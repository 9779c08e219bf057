/**
 * How old the newest confirmation of a gateway's view is, and the question that
 * renews it.
 *
 * A refusal for an unknown route or key is final for the caller, so it must not
 * rest on an old view. Gateways ask at most one question a second, whatever
 * callers send.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';

/**
 * The age of a view that needs no question. Together with the second for which
 * core daemons count as in contact, it is less than a change may take.
 */
const MAX_AGE_MS = 1_800;

/** The least time between two questions. */
const QUESTION_INTERVAL_MS = 1_000;

/** How long a request waits for the answer. */
const ANSWER_WITHIN_MS = 700;

export interface ViewConfirmationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Asks the core for changes at once; true if its leader confirms the view. */
  readonly ask: () => Promise<boolean>;
}

export class ViewConfirmation {
  /** When the call was sent whose answer confirmed the view last. */
  private confirmedAt = -Infinity;
  private question: Promise<boolean> | null = null;
  private askedAt = -Infinity;
  private isOld = false;

  constructor(private readonly options: ViewConfirmationOptions) {}

  /** The time since the view was confirmed, in ms. */
  get ageMs(): number {
    return this.options.clock.monotonic() - this.confirmedAt;
  }

  /** Records an answer of a core daemon with contact to its leader. */
  record(sentAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    this.check();
  }

  /** Logs when the view gets old, and when it is confirmed again. */
  check(): void {
    const {logger, metrics} = this.options;
    const ageMs = Math.round(this.ageMs);
    metrics.gauge('view_age_ms', ageMs === Infinity ? NaN : ageMs);
    const isOld = ageMs > MAX_AGE_MS;
    if (isOld === this.isOld) return;
    this.isOld = isOld;
    if (isOld)
      logger.warn('The view may be outdated: no leader confirms it.', {ageMs});
    else logger.info('The view is confirmed again.', {ageMs});
  }

  /** Makes sure that the view is new; false if nobody confirms it in time. */
  async ensure(): Promise<boolean> {
    if (this.ageMs <= MAX_AGE_MS) return true;
    const {clock, metrics} = this.options;
    const sinceMs = clock.monotonic() - this.askedAt;
    if (this.question === null && sinceMs < QUESTION_INTERVAL_MS) return false;
    this.question ??= this.ask();
    const isConfirmed = await this.question;
    metrics.count('view_questions', 1, {
      outcome: isConfirmed ? 'confirmed' : 'no-answer',
    });
    return isConfirmed;
  }

  private async ask(): Promise<boolean> {
    const {clock, ask} = this.options;
    this.askedAt = clock.monotonic();
    const answered = new AbortController();
    const late = clock
      .sleep(ANSWER_WITHIN_MS, answered.signal)
      .then(() => false);
    try {
      return await Promise.race([ask().catch(() => false), late]);
    } finally {
      answered.abort('answered');
      this.question = null;
    }
  }
}
