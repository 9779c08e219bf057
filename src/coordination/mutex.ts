/** Mutual exclusion between asynchronous tasks of one process. */

/** Runs one task at a time, in the order in which `run()` was called. */
export interface Mutex {
  run<T>(task: () => Promise<T>): Promise<T>;
}

/** Creates a mutex that no task holds. */
export function createMutex(): Mutex {
  let tail: Promise<unknown> = Promise.resolve();
  return {
    run(task) {
      const result = tail.then(task);
      tail = result.catch(() => {});
      return result;
    },
  };
}
