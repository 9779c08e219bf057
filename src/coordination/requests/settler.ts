/**
 * Settles admissions in the ledger, for as long as that takes.
 *
 * A request waits for its settlement only so long. What the ledger did not
 * confirm by then is proposed again in the background; a settlement is
 * idempotent, so none counts twice.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {LedgerCommand, LedgerResult} from '../../protocol/ledger.ts';
import type {Logger} from '../../protocol/logger.ts';
import {waitAtMost} from './deadline.ts';
import type {LedgerClient} from './ledger_client.ts';

export type SettleCommand = Extract<LedgerCommand, {type: 'settle'}>;

/** The pause between two proposals. */
const RETRY_DELAY_MS = 500;

/** After this long the sweeper of the ledger is left to settle. */
const SETTLE_TIMEOUT_MS = 600_000;

export interface SettlerOptions {
  readonly ledger: LedgerClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Settles the requests of one gateway. */
export class Settler {
  private readonly running = new Set<Promise<unknown>>();

  constructor(private readonly options: SettlerOptions) {}

  /** Settlements that are not confirmed yet. */
  get openCount(): number {
    return this.running.size;
  }

  /**
   * Settles, and waits for the ledger at most `waitMs`.
   *
   * @returns The ledger's result; `null` when it is not known yet.
   */
  async settle(
    command: SettleCommand,
    waitMs: number,
  ): Promise<LedgerResult | null> {
    const task = this.submitUntilKnown(command);
    this.running.add(task);
    void task.finally(() => this.running.delete(task));
    return waitAtMost(task, waitMs, this.options.clock);
  }

  /** Settles in the background, once `proposal` can do no more harm. */
  settleAfter(proposal: Promise<unknown>, command: SettleCommand): void {
    const task = proposal
      .catch(() => {})
      .then(() => this.submitUntilKnown(command));
    this.running.add(task);
    void task.finally(() => this.running.delete(task));
  }

  /** Resolves when every settlement is confirmed or given up. */
  async waitUntilSettled(): Promise<void> {
    while (this.running.size > 0) await Promise.all(this.running);
  }

  private async submitUntilKnown(
    command: SettleCommand,
  ): Promise<LedgerResult | null> {
    const {ledger, clock, logger} = this.options;
    const timeoutAt = clock.monotonic() + SETTLE_TIMEOUT_MS;
    while (clock.monotonic() < timeoutAt) {
      const result = await ledger
        .submit(command.customer, command.key, command)
        .catch(() => null);
      if (result) return result;
      await clock.sleep(RETRY_DELAY_MS);
    }
    logger.error('Could not settle a request.', {request: command.requestId});
    return null;
  }
}
