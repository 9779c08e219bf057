import * as fc from 'fast-check';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {BillRecord, LedgerCommand} from '../../protocol/ledger.ts';
import {decodeSnapshot, encodeSnapshot} from '../snapshot/snapshot_codec.ts';
import {TOTAL_ANSWERS_LIMIT_BYTES, BRIEF_RETENTION_MS} from './claims.ts';
import {LedgerState} from './ledger_state.ts';

type Settle = Extract<LedgerCommand, {type: 'settle'}>;

function admit(
  requestId: string,
  key: string,
  more: Partial<Extract<LedgerCommand, {type: 'admit'}>> = {},
): LedgerCommand {
  return {
    type: 'admit',
    requestId,
    customer: 'desk',
    key,
    digest: 'd',
    repeatable: false,
    gateway: 'a/1',
    repin: false,
    atMs: 1_000,
    ...more,
  };
}

function settle(
  requestId: string,
  key: string,
  more: Partial<Settle> = {},
): LedgerCommand {
  return {
    type: 'settle',
    requestId,
    customer: 'desk',
    key,
    status: 'answered',
    bill: {
      target: 'draft/v1',
      endpoint: 'e1',
      promptTokens: 1,
      completionTokens: 1,
      cost: 0.1,
    },
    atMs: 2_000,
    ...more,
  };
}

function sweep(
  lostGateways: string[],
  more: Partial<Extract<LedgerCommand, {type: 'sweep'}>> = {},
): LedgerCommand {
  const times = {openBeforeMs: 0, settledBeforeMs: 0, atMs: 3_000};
  return {type: 'sweep', lostGateways, ...times, ...more};
}

function readAll(state: LedgerState, after = 0): BillRecord[] {
  const bills: BillRecord[] = [];
  for (let complete = false; !complete;) {
    const page = state.readBills(after);
    bills.push(...page.bills);
    after = page.cursor;
    complete = page.complete;
  }
  return bills;
}

function copyThroughSnapshot(state: LedgerState): LedgerState {
  const bytes = encodeSnapshot({
    index: 1,
    term: 1,
    state: state.createSnapshot(),
  } as never);
  const restored = new LedgerState();
  const snapshot = decodeSnapshot(bytes) as unknown as {state: unknown};
  restored.restoreSnapshot(snapshot.state);
  return restored;
}

/** Returns a snapshot with decoded claims, to compare without key order. */
function readSnapshot(state: LedgerState): unknown {
  const {claims, ...rest} = state.createSnapshot();
  const parse = (bytes: Uint8Array): unknown =>
    JSON.parse(Buffer.from(bytes).toString('utf8'));
  return {
    ...rest,
    open: parse(claims.open),
    settled: parse(claims.settled),
    brief: parse(claims.brief),
  };
}

test('a claim of a lost gateway is not rerun, but can still be billed', () => {
  const state = new LedgerState();
  state.apply(admit('r1', 'k'));
  assert.equal(state.apply(admit('r2', 'k')), {type: 'open'});
  assert.equal(state.apply(sweep(['a/1'])), {type: 'swept', count: 1});
  assert.equal(state.apply(admit('r2', 'k')), {type: 'unknown'});
  const answer = {status: 200, contentType: 'text/plain', body: 'printed'};
  const late = state.apply(settle('r1', 'k', {answer}));
  assert.equal(late, {type: 'settled', billed: true});
  assert.equal(state.apply(admit('r3', 'k')), {type: 'answered', answer});
  assert.equal(state.apply(settle('r1', 'k')), {type: 'settled', billed: true});
  assert.is(readAll(state).length, 1);
});

test('a sweep settles the claims of the earlier process of a gateway', () => {
  const state = new LedgerState();
  state.apply(admit('r1', 'k1', {gateway: 'a/1'}));
  state.apply(admit('r2', 'k2', {gateway: 'a/2'}));
  assert.equal([...state.listOpenGateways()], ['a/1', 'a/2']);
  state.apply(sweep(['a/1']));
  assert.equal([...state.listOpenGateways()], ['a/2']);
});

test('an abandoned repeatable key is rerun and billed once', () => {
  const state = new LedgerState();
  state.apply(admit('r1', 'k', {repeatable: true}));
  state.apply(sweep(['a/1']));
  const again = state.apply(admit('r2', 'k', {repeatable: true}));
  assert.is(again.type, 'admitted');
  assert.equal(state.apply(settle('r1', 'k')), {
    type: 'settled',
    billed: false,
  });
  assert.equal(state.apply(settle('r2', 'k')), {type: 'settled', billed: true});
  assert.equal(
    readAll(state).map(bill => bill.requestId),
    ['r2'],
  );
});

test('keys expire after their retention, requests without a key sooner', () => {
  const state = new LedgerState();
  for (const key of ['k', 'r2']) {
    const requestId = key === 'k' ? 'r1' : key;
    state.apply(admit(requestId, key));
    state.apply(settle(requestId, key));
  }
  const atMs = 2_001 + BRIEF_RETENTION_MS;
  state.apply(sweep([], {atMs}));
  assert.is(state.describeSummary().settledEntries, 1);
  assert.equal(state.apply(admit('r3', 'k')).type, 'answered');
  state.apply(sweep([], {atMs, settledBeforeMs: 2_001}));
  assert.equal(state.apply(admit('r4', 'k')).type, 'admitted');
});

test('stored answers are bounded; the oldest are evicted first', () => {
  const state = new LedgerState();
  const body = 'x'.repeat(200_000);
  const count = Math.ceil(TOTAL_ANSWERS_LIMIT_BYTES / body.length) + 1;
  const answer = {status: 200, contentType: 'text/plain', body};
  for (let number = 0; number < count; number++) {
    state.apply(admit(`r${number}`, `k${number}`));
    state.apply(settle(`r${number}`, `k${number}`, {answer}));
  }
  assert.ok(state.describeSummary().answerBytes <= TOTAL_ANSWERS_LIMIT_BYTES);
  assert.equal(state.apply(admit('s', 'k0')), {
    type: 'answered',
    answer: undefined,
  });
  assert.equal(state.apply(admit('s', `k${count - 1}`)), {
    type: 'answered',
    answer,
  });
});

test('an export resumes at its cursor, and archiving keeps the totals', () => {
  const state = new LedgerState();
  for (let number = 1; number <= 1_203; number++) {
    state.apply(admit(`r${number}`, `k${number}`));
    state.apply(settle(`r${number}`, `k${number}`));
  }
  const sequences = readAll(state).map(bill => bill.sequence);
  assert.equal(
    sequences,
    Array.from({length: 1_203}, (_none, index) => index + 1),
  );
  assert.equal(
    readAll(copyThroughSnapshot(state), 700).map(bill => bill.sequence),
    sequences.slice(700),
  );
  const archived = state.apply({type: 'archive_bills', through: 1_100});
  assert.equal(archived, {type: 'archived', through: 1_000});
  assert.is(readAll(state).length, 203);
  // 1,203 * 0.1, without floating-point rounding error.
  assert.equal(state.describeSummary().totals, {desk: 120.3});
  assert.equal(
    copyThroughSnapshot(state).describeSummary(),
    state.describeSummary(),
  );
});

test('a session keeps its version until it is repinned', () => {
  const state = new LedgerState();
  const pin = (version: string, repin = false) =>
    state.apply({
      type: 'pin',
      customer: 'desk',
      session: 's',
      version,
      repin,
      atMs: 1,
    });
  assert.equal(pin('draft/v1'), {type: 'pinned', pinned: 'draft/v1'});
  assert.equal(pin('draft/v2'), {type: 'pinned', pinned: 'draft/v1'});
  assert.equal(pin('draft/v2', true), {type: 'pinned', pinned: 'draft/v2'});
  const more = {session: 's', version: 'draft/v3'};
  assert.equal(state.apply(admit('r', 'k', more)), {
    type: 'admitted',
    pinned: 'draft/v2',
    billed: false,
  });
});

test('a key is billed at most once in any order of commands', () => {
  const request = fc.constantFrom('r1', 'r2', 'r3');
  const repeatable = fc.boolean();
  const commands = fc.array(
    fc.oneof(
      fc
        .tuple(request, repeatable)
        .map(([id, flag]) => admit(id, 'k', {repeatable: flag})),
      request.map(id => settle(id, 'k')),
      request.map(id => settle(id, 'k', {status: 'unknown', bill: undefined})),
      request.map(id => settle(id, 'k', {status: 'not-run', bill: undefined})),
      fc.constant(sweep(['a/1'])),
    ),
    {maxLength: 30},
  );
  const property = fc.property(commands, list => {
    const state = new LedgerState();
    for (const command of list) state.apply(command);
    assert.ok(readAll(state).length <= 1);
    const open = list.reduce((restored, command) => {
      restored.apply(command);
      return copyThroughSnapshot(restored);
    }, new LedgerState());
    // Compares restored copies, since encoding drops undefined properties.
    assert.equal(readSnapshot(open), readSnapshot(copyThroughSnapshot(state)));
  });
  fc.assert(property, {seed: 11, numRuns: 150});
});

test.run();
