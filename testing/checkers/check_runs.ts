/** Checks the runs that endpoints recorded. */
import type {CallRecord, RunRecord} from '../records/call_record.ts';

/** A withdrawal or drain, and the time from which no run may start. */
export interface WorkCutoff {
  /** The version as `model/version`, or the name of the endpoint. */
  readonly name: string;
  readonly atMs: number;
  /** When runs may start again, if they may. */
  readonly untilMs?: number;
}

/**
 * Lists runs on versions or services that the customer may not use.
 *
 * @param allowed Allowed versions by customer; an empty string stands for
 *     services.
 */
export function checkAllowed(
  runs: readonly RunRecord[],
  allowed: ReadonlyMap<string, ReadonlySet<string>>,
): string[] {
  return runs
    .filter(run => !allowed.get(run.customer)?.has(run.version))
    .map(run => `${run.customer} ran on ${run.version || run.endpoint}`);
}

/** Lists runs of a withdrawn version that started after the bound. */
export function checkWithdrawals(
  runs: readonly RunRecord[],
  withdrawals: readonly WorkCutoff[],
  boundMs: number,
): string[] {
  return findLateRuns(runs, withdrawals, boundMs, run => run.version);
}

/** Lists runs that a draining endpoint started after the bound. */
export function checkDraining(
  runs: readonly RunRecord[],
  drains: readonly WorkCutoff[],
  boundMs: number,
): string[] {
  return findLateRuns(runs, drains, boundMs, run => run.endpoint);
}

function findLateRuns(
  runs: readonly RunRecord[],
  cutoffs: readonly WorkCutoff[],
  boundMs: number,
  getName: (run: RunRecord) => string,
): string[] {
  return cutoffs.flatMap(cutoff =>
    runs
      .filter(run => getName(run) === cutoff.name)
      .filter(run => run.startedAtMs > cutoff.atMs + boundMs)
      .filter(run => run.startedAtMs < (cutoff.untilMs ?? Infinity))
      .map(run => {
        const late = run.startedAtMs - cutoff.atMs;
        return `${cutoff.name} started ${run.requestId} ${late} ms past cutoff`;
      }),
  );
}

/** Lists requests that were reported as not run although they ran. */
export function checkNotRun(
  calls: readonly CallRecord[],
  runs: readonly RunRecord[],
): string[] {
  const ran = new Set(runs.map(run => run.requestId));
  return calls
    .filter(call => call.outcome === 'not-run' && ran.has(call.requestId))
    .map(call => `${call.requestId} was reported as not run, but ran`);
}

/** Lists keys of non-repeatable calls that ran more than once. */
export function checkAtMostOnce(
  calls: readonly CallRecord[],
  runs: readonly RunRecord[],
): string[] {
  const nonRepeatable = new Set(
    calls.filter(call => !call.repeatable).map(formatCallKey),
  );
  const counts = new Map<string, number>();
  for (const run of runs) {
    const key = formatCallKey(run);
    if (nonRepeatable.has(key)) counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} ran ${count} times`);
}

/** Formats the customer and idempotency key that identify a request. */
export function formatCallKey(call: {customer: string; key: string}): string {
  return `${call.customer}/${call.key}`;
}
