/**
 * Settles admissions in the ledger, with retries.
 *
 * A request waits for its settlement for a limited time only. Proposals that
 * the ledger has not confirmed by then are repeated in the background; this is
 * safe, since a settlement is idempotent.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {LedgerCommand, LedgerResult} from '../../protocol/ledger.ts';
import type {Logger} from '../../protocol/logger.ts';
import {waitAtMost} from './deadline.ts';
import type {LedgerClient} from './ledger_client.ts';

export type SettleCommand = Extract<LedgerCommand, {type: 'settle'}>;

/** The delay between two proposals. */
const RETRY_DELAY_MS = 500;

/** After this long, settling is left to the ledger's sweeper. */
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

  /** The number of settlements that are not confirmed yet. */
  get openCount(): number {
    return this.running.size;
  }

  /**
   * Settles a request and waits for the ledger for at most `waitMs`.
   *
   * @returns The ledger's result; `null` if it is not known yet.
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

  /** Settles in the background once `proposal` has completed or failed. */
  settleAfter(proposal: Promise<unknown>, command: SettleCommand): void {
    const task = proposal
      .catch(() => {})
      .then(() => this.submitUntilKnown(command));
    this.running.add(task);
    void task.finally(() => this.running.delete(task));
  }

  /** Resolves when every settlement is confirmed or abandoned. */
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
    logger.error('Abandons a settlement: the ledger did not confirm it.', {
      request: command.requestId,
    });
    return null;
  }
}
