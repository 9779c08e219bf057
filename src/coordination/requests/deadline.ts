/** The deadline of a request. */
import type {Clock} from '../../protocol/clock.ts';

/** A fixed point in time, on the monotonic clock. */
export interface Deadline {
  /** Returns the milliseconds left, at least 0. */
  remainingMs(): number;
  hasPassed(): boolean;
}

/** Creates a deadline `ms` from now. */
export function createDeadline(
  clock: Pick<Clock, 'monotonic'>,
  ms: number,
): Deadline {
  const at = clock.monotonic() + ms;
  const remainingMs = () => Math.max(0, at - clock.monotonic());
  return {remainingMs, hasPassed: () => remainingMs() === 0};
}

/** The abort reason of the timer once the promise has settled. */
const SETTLED = 'settled';

/** Waits for `promise` for at most `ms`; resolves to `null` on a timeout. */
export async function waitAtMost<T>(
  promise: Promise<T>,
  ms: number,
  clock: Pick<Clock, 'sleep'>,
): Promise<T | null> {
  const stopped = new AbortController();
  const timeout = clock.sleep(ms, stopped.signal).then(() => null);
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    // The default reason would be an exception, which captures a stack trace.
    stopped.abort(SETTLED);
  }
}
