/**
 * Measures in tests how the time of a call grows with the size of its input. Only the
 * processor's time counts, since other processes may take turns.
 */

const MICROSECONDS_PER_MS = 1_000;

export interface GrowthOptions {
  /** The smaller size; the larger one is {@linkcode GROWTH} times as large. */
  readonly size: number;
  /** How often each size is timed; the fastest time counts. */
  readonly rounds?: number;
}

/** How many times as large the larger input is. */
export const GROWTH = 8;

/**
 * More than linear work takes, whose time grows by {@linkcode GROWTH}, and less
 * than quadratic work, whose time grows by its square.
 */
export const MAX_LINEAR_GROWTH = 3 * GROWTH;

/**
 * Returns how many times as long `run` takes with the larger input.
 *
 * @param create Creates an input of a size; it is not timed.
 * @param run It may return a promise, which is awaited.
 */
export async function measureGrowth<T>(
  create: (size: number) => T,
  run: (input: T) => unknown,
  {size, rounds = 9}: GrowthOptions,
): Promise<number> {
  const small = create(size);
  const large = create(size * GROWTH);
  let smallMs = Infinity;
  let largeMs = Infinity;
  for (let round = 0; round < rounds; round++) {
    smallMs = Math.min(smallMs, await measureMs(() => run(small)));
    largeMs = Math.min(largeMs, await measureMs(() => run(large)));
  }
  return largeMs / smallMs;
}

async function measureMs(run: () => unknown): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const {user, system} = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MS;
}
