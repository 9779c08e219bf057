/** Resumes one waiting task. */
import type {Clock} from '../protocol/clock.ts';

/** Keeps one notification pending until the next wait. */
export interface Signal {
  notify(): void;
  /** Resolves after the next notification, or after `timeoutMs`. */
  wait(timeoutMs?: number): Promise<void>;
}

/** Creates a signal for a single waiter. */
export function createSignal(clock: Clock): Signal {
  let pending = false;
  let wake: (() => void) | null = null;
  return {
    notify() {
      if (wake) wake();
      else pending = true;
    },
    wait(timeoutMs) {
      if (pending) {
        pending = false;
        return Promise.resolve();
      }
      return new Promise(resolve => {
        const timer = new AbortController();
        const finish = () => {
          if (wake !== finish) return;
          wake = null;
          timer.abort();
          resolve();
        };
        wake = finish;
        if (timeoutMs !== undefined) {
          void clock.sleep(timeoutMs, timer.signal).then(finish);
        }
      });
    },
  };
}
