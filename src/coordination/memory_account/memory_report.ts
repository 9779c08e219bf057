/** Logs what the account of memory rejected: one line at a time, and few of them. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import {startPeriodicTask} from '../periodic_task.ts';
import type {MemoryAccount} from './memory_account.ts';

const SWEEP_INTERVAL_MS = 500;

/** The least time between two lines. */
const LOG_INTERVAL_MS = 5_000;

/** How many of the largest holders, and of the callers, a line names. */
const LARGEST_COUNT = 3;

export interface MemoryReportOptions {
  readonly memory: MemoryAccount;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Sweeps the account at an interval, and logs rejections. */
export function startMemoryReport({
  memory,
  clock,
  logger,
}: MemoryReportOptions): AsyncDisposable {
  let loggedAt = -Infinity;
  return startPeriodicTask({
    clock,
    intervalMs: SWEEP_INTERVAL_MS,
    step: async () => {
      memory.sweep();
      if (clock.monotonic() - loggedAt < LOG_INTERVAL_MS) return;
      const rejections = memory.takeRejections();
      if (rejections.size === 0) return;
      loggedAt = clock.monotonic();
      logger.warn('Rejects requests or connections to stay within bounds.', {
        rejections: Object.fromEntries(rejections),
        heldBytes: memory.bytes,
        budgetBytes: memory.budgetBytes,
        largest: memory.listLargest(LARGEST_COUNT),
        callers: memory.takeRejectedCallers(LARGEST_COUNT),
      });
    },
    onError: ({message: reason}) =>
      logger.warn('Could not check the account of memory.', {reason}),
  });
}
