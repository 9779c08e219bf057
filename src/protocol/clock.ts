/**
 * The clock interface, which tests implement with simulated time.
 *
 * Use `now` for times that people read, as in log lines and bills. Measure
 * leases, deadlines and timeouts with `monotonic`, which clock adjustments do
 * not affect.
 */
/** A source of time. All values are in milliseconds. */
export interface Clock {
  /** Returns the wall-clock time since the Unix epoch. */
  now(): number;
  /** Returns a time that never decreases, from an arbitrary origin. */
  monotonic(): number;
  /**
   * Resolves after `ms`, or immediately if `signal` aborts. It may resolve after
   * 24 days already if `ms` is longer.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The longest delay of a timer; a longer one would expire at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** The clock of the host. */
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
      const timer = setTimeout(finish, Math.min(ms, MAX_DELAY_MS));
      signal?.addEventListener('abort', finish);
    }),
};

/** A smaller gap between the two clocks is slewing or rounding. */
const MIN_SUSPENSION_MS = 100;

/**
 * Creates a clock whose monotonic time includes suspensions of the host.
 *
 * The host's monotonic clock stops during a suspension, so a lease that expired
 * meanwhile would seem valid. The time by which the wall clock ran ahead of it
 * is therefore added. A forward step of the wall clock ends leases early, which
 * is safe; a backward step has no effect.
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
