/**
 * Time as an interface, so that tests decide what time it is.
 *
 * `now` is for what people read (log lines, bills); every lease, deadline and
 * timeout is measured with `monotonic`, which no clock adjustment moves.
 */
/** A source of time. All values are in milliseconds. */
export interface Clock {
  /** The wall time since the Unix epoch. */
  now(): number;
  /** A time that only ever grows, from an arbitrary origin. */
  monotonic(): number;
  /** Resolves after `ms`, or at once when `signal` aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the machine. */
export const systemClock: Clock = {
  now: () => Date.now(),
  monotonic: () => performance.now(),
  sleep: (ms, signal) =>
    new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal?.addEventListener('abort', finish);
    }),
};
