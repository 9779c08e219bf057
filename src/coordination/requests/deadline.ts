/** The time that a request has left. */
import type {Clock} from '../../protocol/clock.ts';

/** A fixed point in time, on the monotonic clock. */
export interface Deadline {
  /** Milliseconds left, never less than zero. */
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

/** Why the wait for a deadline ends early. */
const SETTLED = 'settled';

/** Waits for `promise`, but no longer than `ms`; `null` when that passes. */
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
    // A reason of our own: the usual one is an exception with its stack.
    stopped.abort(SETTLED);
  }
}
