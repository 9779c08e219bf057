/** Runs all checkers on one record. */
import type {BillRecord} from '../../src/protocol/ledger.ts';
import type {
  CallRecord,
  ConfigurationRecord,
  RunRecord,
} from '../records/call_record.ts';
import {
  checkAnswers,
  checkPartialAnswers,
  checkSessions,
  checkShutdowns,
  type Shutdown,
} from './check_answers.ts';
import {checkBills} from './check_bills.ts';
import {
  checkConfiguration,
  type InForceDeclaration,
} from './check_configuration.ts';
import {
  checkAllowed,
  checkAtMostOnce,
  checkDraining,
  checkNotRun,
  checkWithdrawals,
  type WorkCutoff,
} from './check_runs.ts';

/** How long after the report "in force" a withdrawn version may begin work. */
const WITHDRAWAL_BOUND_MS = 1_000;

/** How long after its announcement a leaving endpoint may get work. */
const DRAIN_BOUND_MS = 3_000;

/** All that was written down of one scenario. */
export interface ScenarioRecord {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly bills: readonly BillRecord[];
  readonly withdrawals: readonly WorkCutoff[];
  readonly leavings: readonly WorkCutoff[];
  readonly shutdowns: readonly Shutdown[];
  /** When the test itself reset all connections of callers. */
  readonly callerResets: readonly number[];
  readonly seen: readonly ConfigurationRecord[];
  readonly inForce: readonly InForceDeclaration[];
  readonly allowed: ReadonlyMap<string, ReadonlySet<string>>;
  /** Words of a whole answer. */
  readonly words: number;
}

/** Lists all that is wrong, each with the name of its check. */
export function checkEverything(record: ScenarioRecord): string[] {
  const {calls, runs, bills, words} = record;
  const found: Record<string, string[]> = {
    'allowed version': checkAllowed(runs, record.allowed),
    'withdrawn version': checkWithdrawals(
      runs,
      record.withdrawals,
      WITHDRAWAL_BOUND_MS,
    ),
    session: checkSessions(calls),
    bills: checkBills(calls, runs, bills),
    answer: [
      ...checkAnswers(calls, runs, words),
      ...checkPartialAnswers(calls, words),
    ],
    'not run': checkNotRun(calls, runs),
    'at most once': checkAtMostOnce(calls, runs),
    leaving: checkDraining(runs, record.leavings, DRAIN_BOUND_MS),
    shutdown: checkShutdowns(calls, record.shutdowns, record.callerResets),
    configuration: checkConfiguration(record.seen, record.inForce),
  };
  return Object.entries(found).flatMap(([name, problems]) =>
    problems.map(problem => `${name}: ${problem}`),
  );
}
