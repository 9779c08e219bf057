/** Each checker accepts a valid record and detects each injected fault. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {BillRecord} from '../../src/protocol/ledger.ts';
import type {CallRecord, RunRecord} from '../records/call_record.ts';
import {createExpectedWords} from '../records/expected_answer.ts';
import {
  checkAnswers,
  checkPartialAnswers,
  checkSessions,
  checkShutdowns,
} from './check_answers.ts';
import {checkBills} from './check_bills.ts';
import {checkConfiguration} from './check_configuration.ts';
import {
  checkAllowed,
  checkAtMostOnce,
  checkDraining,
  checkNotRun,
  checkWithdrawals,
} from './check_runs.ts';

const WORDS = 3;

const chat: CallRecord = {
  kind: 'completion',
  customer: 'desk',
  key: 'k1',
  repeatable: true,
  session: 's',
  content: 'brown tap',
  gateway: 'g1',
  startedAtMs: 100,
  endedAtMs: 200,
  status: 200,
  outcome: 'answered',
  code: '',
  requestId: 'r1',
  version: 'draft/small',
  moved: false,
  text: createExpectedWords('brown tap', 'draft/small', WORDS).join(''),
};
const booking: CallRecord = {
  ...chat,
  kind: 'call',
  key: 'k2',
  repeatable: false,
  session: undefined,
  requestId: 'r2',
  version: '',
  text: 'serial-1',
};
const chatRun: RunRecord = {
  kind: 'completion',
  endpoint: 'e1',
  requestId: 'r1',
  attemptId: 'a1',
  customer: 'desk',
  version: 'draft/small',
  key: '',
  startedAtMs: 110,
  finished: true,
  answer: '',
};
const bookingRun: RunRecord = {
  ...chatRun,
  kind: 'call',
  endpoint: 's1',
  requestId: 'r2',
  attemptId: 'a2',
  version: '',
  key: 'k2',
  answer: 'serial-1',
};
const bill: BillRecord = {
  sequence: 1,
  requestId: 'r1',
  customer: 'desk',
  key: 'k1',
  target: 'draft/small',
  endpoint: 'e1',
  promptTokens: 1,
  completionTokens: 3,
  cost: 1,
  atMs: 200,
};
const calls = [chat, booking];
const runs = [chatRun, bookingRun];
const bills = [
  bill,
  {...bill, sequence: 2, requestId: 'r2', key: 'k2', target: 'booking'},
];

test('checkAllowed() catches a version that the customer may not use', () => {
  const allowed = new Map([['desk', new Set(['draft/small', ''])]]);
  assert.equal(checkAllowed(runs, allowed), []);
  const planted = {...chatRun, version: 'draft/large'};
  assert.is(checkAllowed([planted], allowed).length, 1);
  assert.is(checkAllowed([{...chatRun, customer: 'x'}], allowed).length, 1);
});

test('checkWithdrawals() catches a run that started after the bound', () => {
  const at = (atMs: number) => [{name: 'draft/small', atMs}];
  assert.equal(checkWithdrawals(runs, at(105), 10), []);
  assert.is(checkWithdrawals(runs, at(50), 10).length, 1);
  const readmitted = [{name: 'draft/small', atMs: 50, untilMs: 100}];
  assert.equal(checkWithdrawals(runs, readmitted, 10), []);
});

test('checkDraining() catches a run that started after the bound', () => {
  assert.equal(checkDraining(runs, [{name: 'e1', atMs: 105}], 10), []);
  assert.is(checkDraining(runs, [{name: 'e1', atMs: 50}], 10).length, 1);
});

test('checkNotRun() catches a refusal of a request that ran', () => {
  const refused: CallRecord = {...chat, outcome: 'not-run'};
  assert.equal(checkNotRun([refused], [bookingRun]), []);
  assert.is(checkNotRun([refused], runs).length, 1);
});

test('checkAtMostOnce() catches a second run under one key', () => {
  assert.equal(checkAtMostOnce(calls, runs), []);
  const second = {...bookingRun, requestId: 'r9', endpoint: 's2'};
  assert.is(checkAtMostOnce(calls, [...runs, second]).length, 1);
});

test('checkBills() catches missing, duplicate and unjustified bills', () => {
  assert.equal(checkBills(calls, runs, bills), []);
  assert.is(checkBills(calls, runs, [bill]).length, 1);
  assert.is(checkBills(calls, runs, [...bills, bill]).length, 1);
  assert.is(checkBills(calls, [bookingRun], bills).length, 1);
  const unfinished = [{...chatRun, finished: false}, bookingRun];
  assert.is(checkBills(calls, unfinished, bills).length, 1);
  const other = [{...chatRun, version: 'draft/large'}, bookingRun];
  assert.is(checkBills(calls, other, bills).length, 1);
});

test('checkAnswers() catches cut, duplicated, mixed and foreign text', () => {
  assert.equal(checkAnswers(calls, runs, WORDS), []);
  const parts = chat.text.split(' ');
  const planted = [
    parts.slice(0, 2).join(' '),
    `${chat.text}${parts[2]} `,
    chat.text.replace('small:1', 'large:1'),
    createExpectedWords('other', 'draft/small', WORDS).join(''),
  ];
  for (const text of planted) {
    assert.is(checkAnswers([{...chat, text}], runs, WORDS).length, 1, text);
  }
  const foreign = {...booking, text: 'serial-2'};
  assert.is(checkAnswers([foreign], runs, WORDS).length, 1);
});

test('checkPartialAnswers() catches a gap in an aborted stream', () => {
  const parts = chat.text.split(' ');
  const broken: CallRecord = {...chat, outcome: 'no-reply'};
  const cut = {...broken, text: `${parts[0]} `};
  assert.equal(checkPartialAnswers([cut], WORDS), []);
  const gap = {...broken, text: `${parts[0]} ${parts[2]} `};
  assert.is(checkPartialAnswers([gap], WORDS).length, 1);
});

test('checkSessions() catches an unreported change of version', () => {
  const later = {...chat, startedAtMs: 300, version: 'draft/large'};
  assert.equal(checkSessions([chat, {...later, moved: true}]), []);
  assert.is(checkSessions([chat, later]).length, 1);
});

test('checkShutdowns() catches an aborted request', () => {
  const shutdown = {gateway: 'g1', atMs: 150, endedAtMs: 400};
  assert.equal(checkShutdowns(calls, [shutdown]), []);
  const cut: CallRecord = {...chat, outcome: 'no-reply'};
  assert.is(checkShutdowns([cut], [shutdown]).length, 1);
  assert.is(
    checkShutdowns([{...cut, outcome: 'unknown'}], [shutdown]).length,
    1,
  );
  assert.equal(checkShutdowns([{...cut, gateway: 'g2'}], [shutdown]), []);
});

test('checkShutdowns() ignores only resets by the test itself', () => {
  const shutdown = {gateway: 'g1', atMs: 150, endedAtMs: 4_000};
  const cut: CallRecord = {
    ...chat,
    startedAtMs: 100,
    endedAtMs: 1_210,
    outcome: 'no-reply',
  };
  assert.equal(checkShutdowns([cut], [shutdown], [1_200]), []);
  // The failure came before the reset, long after it, or on a connection that
  // was opened after it.
  assert.is(checkShutdowns([cut], [shutdown], [1_300]).length, 1);
  assert.is(checkShutdowns([cut], [shutdown], [200]).length, 1);
  const later = {...cut, startedAtMs: 140, endedAtMs: 1_210};
  assert.is(checkShutdowns([later], [shutdown], [130]).length, 1);
});

test('checkConfiguration() catches an older version and a late daemon', () => {
  const seen = (version: number | null, atMs: number) => ({
    host: 'a1',
    atMs,
    version,
  });
  const inForce = [{version: 2, atMs: 150}];
  assert.equal(
    checkConfiguration([seen(1, 100), seen(null, 160), seen(2, 200)], inForce),
    [],
  );
  assert.is(checkConfiguration([seen(2, 100), seen(1, 120)], []).length, 1);
  assert.is(checkConfiguration([seen(1, 200)], inForce).length, 1);
});

test.run();
