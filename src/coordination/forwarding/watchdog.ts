/** A timeout that can be extended. */
import type {Clock} from '../../protocol/clock.ts';

/** A timer that can be postponed. Dispose it to stop it. */
export interface Watchdog extends Disposable {
  /** Sets it to expire `ms` from now. */
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
  const stopped = new AbortController();
  let dueAt = clock.monotonic() + ms;
  const watch = async () => {
    while (!stopped.signal.aborted) {
      const leftMs = dueAt - clock.monotonic();
      if (leftMs <= 0) {
        onExpire();
        if (dueAt <= clock.monotonic()) return;
        continue;
      }
      await clock.sleep(leftMs, stopped.signal);
    }
  };
  void watch();
  return {
    postpone(nextMs) {
      dueAt = clock.monotonic() + nextMs;
    },
    [Symbol.dispose]() {
      // Without a reason, `abort()` would create an error with a stack trace.
      stopped.abort('stopped');
    },
  };
}
