/** A task that repeats one step at an interval until it is disposed. */
import type {Clock} from '../protocol/clock.ts';

export interface PeriodicTaskOptions {
  readonly clock: Clock;
  readonly intervalMs: number;
  readonly step: () => Promise<void>;
  /** Called when a step throws; the following steps still run. */
  readonly onError: (error: Error) => void;
}

/** Starts the task; the first step runs after one interval. */
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
