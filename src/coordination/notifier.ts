/** Wakes all tasks that wait for a change. */
import type {Clock} from '../protocol/clock.ts';

/** Unlike a signal, it has many waiters and remembers nothing. */
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
      // Without a reason it would make an error with its stack.
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
