/** Checks the bills against runs and answers. */
import type {BillRecord} from '../../src/protocol/ledger.ts';
import type {CallRecord, RunRecord} from '../records/call_record.ts';
import {formatCallKey} from './check_runs.ts';

/**
 * Lists answers without a bill, bills without a finished run of their target,
 * and requests that were billed more than once.
 */
export function checkBills(
  calls: readonly CallRecord[],
  runs: readonly RunRecord[],
  bills: readonly BillRecord[],
): string[] {
  return [
    ...findUnbilledAnswers(calls, bills),
    ...findBillsWithoutRun(runs, bills),
    ...findDuplicateBills(bills),
  ];
}

function findUnbilledAnswers(
  calls: readonly CallRecord[],
  bills: readonly BillRecord[],
): string[] {
  const billed = new Set(bills.map(formatCallKey));
  return calls
    .filter(call => call.outcome === 'answered')
    .filter(call => !billed.has(formatCallKey(call)))
    .map(call => `${formatCallKey(call)} was answered but not billed`);
}

function findBillsWithoutRun(
  runs: readonly RunRecord[],
  bills: readonly BillRecord[],
): string[] {
  const finished = new Map<string, Set<string>>();
  for (const run of runs.filter(each => each.finished)) {
    const targets = finished.get(run.requestId) ?? new Set();
    finished.set(run.requestId, targets.add(run.version));
  }
  return bills
    .filter(bill => {
      const targets = finished.get(bill.requestId);
      return !(targets?.has(bill.target) || targets?.has(''));
    })
    .map(bill => `${formatCallKey(bill)} was billed without a finished run`);
}

function findDuplicateBills(bills: readonly BillRecord[]): string[] {
  const counts = new Map<string, number>();
  for (const bill of bills) {
    const key = formatCallKey(bill);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} was billed ${count} times`);
}
