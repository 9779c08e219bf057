/** Ends what takes too long. */
import type {Clock} from '../../protocol/clock.ts';

/** A timer that can be put off. Dispose it to stop it. */
export interface Watchdog extends Disposable {
  /** Lets it expire in `ms` from now. */
  postpone(ms: number): void;
}

/**
 * Starts a timer that calls `onExpire` once, unless it is put off, also by that
 * call.
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
      // Without a reason it would make an error with its stack.
      stopped.abort('stopped');
    },
  };
}
