/** Bounds the attempts of a request. */
import type {CallRun} from './call_run.ts';

/** Maximum retries of a request that endpoints reported as not run. */
const MAX_NOT_RUN = 2;

/** Whether no further attempt of a request is allowed. */
export function isUsedUp({admitted, runs, notRun}: CallRun): boolean {
  return (
    (runs > 0 && !admitted.isRepeatable) ||
    runs >= admitted.route.maxAttempts ||
    notRun > MAX_NOT_RUN
  );
}
