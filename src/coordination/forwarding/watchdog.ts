/** A timeout that can be set anew. */
import type {Clock} from '../../protocol/clock.ts';

/** A timer that can be postponed. Dispose it to stop it. */
export interface Watchdog extends Disposable {
  /** Sets it to expire `ms` from now, which may be earlier than before. */
  postpone(ms: number): void;
}

/**
 * Starts a timer that calls `onExpire` when it expires. If that call postpones
 * it, the timer runs again.
 */
export function startWatchdog(
  clock: Clock,
  ms: number,
  onExpire: () => void,
): Watchdog {
  let isStopped = false;
  let dueAt = clock.monotonic() + ms;
  let wakened = new AbortController();
  const watch = async () => {
    while (!isStopped) {
      const leftMs = dueAt - clock.monotonic();
      if (leftMs > 0) {
        await clock.sleep(leftMs, wakened.signal);
        continue;
      }
      onExpire();
      if (dueAt <= clock.monotonic()) return;
    }
  };
  // Without a reason, `abort()` would create an error with a stack trace.
  const wake = () => wakened.abort('wakened');
  void watch();
  return {
    postpone(nextMs) {
      const before = dueAt;
      dueAt = clock.monotonic() + nextMs;
      if (dueAt >= before) return;
      wake();
      wakened = new AbortController();
    },
    [Symbol.dispose]() {
      isStopped = true;
      wake();
    },
  };
}
