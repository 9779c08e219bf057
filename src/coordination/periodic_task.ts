/** A task that does one step again and again until it is disposed. */
import type {Clock} from '../protocol/clock.ts';

export interface PeriodicTaskOptions {
  readonly clock: Clock;
  readonly intervalMs: number;
  readonly step: () => Promise<void>;
  /** Told of a step that threw; the next one is made all the same. */
  readonly onError: (error: Error) => void;
}

/** Starts the task; the first step comes after one interval. */
export function startPeriodicTask(
  options: PeriodicTaskOptions,
): AsyncDisposable {
  const stopped = new AbortController();
  const task = runSteps(options, stopped.signal);
  return {
    async [Symbol.asyncDispose]() {
      stopped.abort();
      await task;
    },
  };
}

async function runSteps(
  {clock, intervalMs, step, onError}: PeriodicTaskOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(intervalMs, signal);
    if (signal.aborted) return;
    try {
      await step();
    } catch (error) {
      onError(error as Error);
    }
  }
}
