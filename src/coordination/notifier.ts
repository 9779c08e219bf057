/** Resumes all tasks that wait for a change. */
import type {Clock} from '../protocol/clock.ts';

/**
 * Unlike a signal, it has any number of waiters, and a notification without
 * waiters is lost.
 */
export interface Notifier {
  notify(): void;
  /** Resolves at the next notification, or after `timeoutMs`. */
  wait(timeoutMs: number): Promise<void>;
}

/** Creates a notifier without waiters. */
export function createNotifier(clock: Clock): Notifier {
  const waiters = new Set<AbortController>();
  return {
    notify() {
      // Without a reason, abort() creates an error and captures its stack.
      for (const waiter of waiters) waiter.abort('notified');
      waiters.clear();
    },
    async wait(timeoutMs) {
      const waiter = new AbortController();
      waiters.add(waiter);
      await clock.sleep(timeoutMs, waiter.signal);
      waiters.delete(waiter);
    },
  };
}
