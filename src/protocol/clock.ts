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

/** Steps of the wall clock below this are slewing and rounding. */
const MIN_SUSPENSION_MS = 100;

/**
 * Creates a clock whose monotonic time goes on while the machine is suspended.
 *
 * The machine's own does not count a suspension; a lease held across one would
 * seem valid. The wall clock shows it: where that ran ahead, so does this one.
 * A step of the wall clock forward ends leases early, which is safe; a step
 * back changes nothing.
 */
export function createSuspendAwareClock(clock: Clock = systemClock): Clock {
  let suspendedMs = 0;
  let lastWallMs = clock.now();
  let lastMonotonicMs = clock.monotonic();
  const monotonic = () => {
    const wallMs = clock.now();
    const monotonicMs = clock.monotonic();
    const gapMs = wallMs - lastWallMs - (monotonicMs - lastMonotonicMs);
    if (gapMs > MIN_SUSPENSION_MS) suspendedMs += gapMs;
    lastWallMs = wallMs;
    lastMonotonicMs = monotonicMs;
    return monotonicMs + suspendedMs;
  };
  return {...clock, monotonic};
}
