/** Runs all checkers on the record of one scenario. */
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

/** How long after its withdrawal is in force a version may start runs. */
const WITHDRAWAL_BOUND_MS = 1_000;

/** How long after its drain began an endpoint may still start runs. */
const DRAIN_BOUND_MS = 3_000;

/** Everything that was recorded in one scenario. */
export interface ScenarioRecord {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly bills: readonly BillRecord[];
  readonly withdrawals: readonly WorkCutoff[];
  readonly drains: readonly WorkCutoff[];
  readonly shutdowns: readonly Shutdown[];
  /** Times at which the test itself reset all callers' connections. */
  readonly callerResets: readonly number[];
  readonly configurations: readonly ConfigurationRecord[];
  readonly inForce: readonly InForceDeclaration[];
  readonly allowed: ReadonlyMap<string, ReadonlySet<string>>;
  /** The number of words in a complete answer. */
  readonly words: number;
}

/** Lists all violations, each prefixed with the name of its check. */
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
    leaving: checkDraining(runs, record.drains, DRAIN_BOUND_MS),
    shutdown: checkShutdowns(calls, record.shutdowns, record.callerResets),
    configuration: checkConfiguration(record.configurations, record.inForce),
  };
  return Object.entries(found).flatMap(([name, problems]) =>
    problems.map(problem => `${name}: ${problem}`),
  );
}
