import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Configuration, ReadReply} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {CoreApi, type CoreApiOptions} from './core_api.ts';
import {CoreState} from './core_state.ts';

/** How long callers wait for a read, in ms. */
const READ_LIMIT_MS = 1_000;

const CONFIGURATION: Configuration = {
  revision: 7,
  version: 3,
  document: '{}',
  rollouts: [],
};

const READ: ReadReply = {type: 'read', configuration: CONFIGURATION};

function createRedirect(leader: string | null): ReadReply {
  return {type: 'not-leader', leader};
}

const SELF = {
  address: 'self',
  region: 'r',
  dataCentre: 'd',
  controlAddress: '',
};

/** Creates the calls of the daemon `self`, by default without a leader. */
function createApi(clock: SimulatedClock, change: Partial<CoreApiOptions>) {
  const {logger = silentLogger} = change;
  const state = new CoreState({clock, logger, self: SELF});
  const api = new CoreApi({
    state,
    clock,
    logger,
    propose: async () => ({type: 'unknown'}),
    read: () => Promise.reject(new Error('unexpected')),
    getLeader: () => null,
    getConfiguration: () => CONFIGURATION,
    confirmer: {waitUntilObeyed: async () => ({isHeld: true, behind: []})},
    ...change,
  });
  return {api, state};
}

interface ReadOptions {
  /** The answers by address; a daemon without one is silent. */
  readonly answers: Readonly<Record<string, ReadReply>>;
  /** The leader as the daemon `self` knows it. */
  readonly leader: string | null;
  readonly replyMs?: number;
}

/** Reads at `self`, which knows the daemons `a` to `d`. */
async function readAt({answers, leader, replyMs = 60}: ReadOptions) {
  const clock = new SimulatedClock();
  const warnings: string[] = [];
  const logger: Logger = {
    ...silentLogger,
    warn: (message, fields) =>
      warnings.push(`${message} ${JSON.stringify(fields)}`),
  };
  const asked: string[] = [];
  const {api, state} = createApi(clock, {
    logger,
    getLeader: () => leader,
    read: async (address, timeoutMs) => {
      asked.push(address);
      const answer = answers[address];
      const isLocal = address === 'self';
      await clock.sleep(answer ? (isLocal ? 0 : replyMs) : timeoutMs);
      if (!answer) throw new Error('Timed out');
      return answer;
    },
  });
  for (const address of ['a', 'b', 'c', 'd']) {
    state.members.recordDirect({...SELF, address});
  }
  let result: Configuration | null | undefined;
  let tookMs = NaN;
  void api.readConfiguration().then(value => {
    result = value;
    tookMs = clock.monotonic();
  });
  await clock.advance(5_000);
  return {result, tookMs, asked, warnings};
}

test('readConfiguration() asks the leader alone', async () => {
  const {result, asked} = await readAt({answers: {a: READ}, leader: 'a'});
  assert.deepEqual(result, CONFIGURATION);
  assert.deepEqual(asked, ['a']);
});

test('readConfiguration() follows a redirect', async () => {
  const {result, asked} = await readAt({
    answers: {a: createRedirect('b'), b: READ},
    leader: 'a',
  });
  assert.deepEqual(result, CONFIGURATION);
  assert.deepEqual(asked, ['a', 'b']);
});

// Guards against a change that is committed and never acknowledged: the commit and
// the wait for gateways together took longer than operators wait.
test('a committed change is acknowledged before the operator gives up', async () => {
  const clock = new SimulatedClock();
  const waits: Array<number | undefined> = [];
  let configuration: Configuration = {...CONFIGURATION, version: 2};
  const {api} = createApi(clock, {
    propose: async () => {
      await clock.sleep(500);
      configuration = CONFIGURATION;
      return {type: 'committed', result: {type: 'accepted'}};
    },
    getConfiguration: () => configuration,
    confirmer: {
      waitUntilObeyed: async ({withinMs}) => {
        waits.push(withinMs);
        await clock.sleep(withinMs ?? 650);
        return {isHeld: true, behind: ['slow']};
      },
    },
  });
  let outcome = '';
  void api.replaceDocument(3, '{}').then(result => (outcome = result));
  await clock.advance(READ_LIMIT_MS - 100);
  assert.equal(outcome, 'accepted');
  assert.deepEqual(waits, [350]);
});

/** Replaces the document at a daemon whose proposals get no answer. */
function replaceWithoutLeader() {
  const clock = new SimulatedClock();
  let configuration: Configuration = {...CONFIGURATION, version: 2};
  let isProposed = false;
  const {api, state} = createApi(clock, {
    propose: () => {
      isProposed = true;
      return new Promise(() => {});
    },
    getConfiguration: () => configuration,
  });
  const replaced = {outcome: '', isProposed: () => isProposed};
  const replace = () =>
    void api
      .replaceDocument(3, '{}')
      .then(outcome => (replaced.outcome = outcome));
  const commit = () => {
    configuration = CONFIGURATION;
    state.changes.notify();
  };
  return {clock, replace, commit, replaced};
}

// Guards against a storm of changes in which each one that is repeated, since its
// ack came late, has to be committed once more.
test('a repeated change is acknowledged without another commit', async () => {
  const {clock, replace, commit, replaced} = replaceWithoutLeader();
  commit();
  replace();
  await clock.advance(10);
  assert.equal(replaced.outcome, 'accepted');
  assert.equal(replaced.isProposed(), false);
});

test('a change that another daemon commits meanwhile is acknowledged', async () => {
  const {clock, replace, commit, replaced} = replaceWithoutLeader();
  replace();
  await clock.advance(300);
  assert.equal(replaced.outcome, '');
  commit();
  await clock.advance(10);
  assert.equal(replaced.outcome, 'accepted');
  assert.equal(replaced.isProposed(), true);
});

// Guards against an acknowledgement that no daemon obeys: a later report of the same
// start had said that it is ready, so that its departure was ignored.
test('a departure that is ignored is not acknowledged', async () => {
  const {api, state} = createApi(new SimulatedClock(), {});
  const ready = createEndpoint('e1', {sequence: 9});
  assert.equal(await api.reportEndpoint(ready), true);
  const report = (sequence: number) =>
    api.reportEndpoint(createEndpoint('e1', {state: 'draining', sequence}));
  assert.equal(await report(8), false);
  assert.equal(state.endpoints.find('e1')?.state, 'ready');
  assert.equal(await report(10), true);
  assert.equal(state.endpoints.find('e1')?.state, 'draining');
});

// Guards against reads that ask a lost leader until the end and nobody else.
test('a read whose leader is silent finds the new one in time', async () => {
  const {result, tookMs} = await readAt({
    answers: {self: createRedirect('a'), b: createRedirect('c'), c: READ},
    leader: 'a',
  });
  assert.deepEqual(result, CONFIGURATION);
  assert.ok(tookMs < READ_LIMIT_MS, `${tookMs} ms`);
});

// Guards against refused reads at a daemon that belongs to no group yet.
test('a read without a known leader asks the other daemons', async () => {
  const {result, tookMs} = await readAt({
    answers: {self: createRedirect(null), b: createRedirect('new'), new: READ},
    leader: null,
  });
  assert.deepEqual(result, CONFIGURATION);
  assert.ok(tookMs < READ_LIMIT_MS, `${tookMs} ms`);
});

// Guards against a refusal after the named leader has stepped down.
test('a read redirected to a former leader asks the others', async () => {
  const {result} = await readAt({
    answers: {
      a: createRedirect('a'),
      b: createRedirect('a'),
      c: READ,
      d: createRedirect('a'),
    },
    leader: 'b',
  });
  assert.deepEqual(result, CONFIGURATION);
});

test('a read that no daemon can confirm is refused in time, logged once', async () => {
  const {result, tookMs, asked, warnings} = await readAt({
    answers: {self: createRedirect('a'), b: createRedirect('a')},
    leader: 'a',
  });
  assert.equal(result, null);
  assert.ok(tookMs < READ_LIMIT_MS, `${tookMs} ms`);
  assert.deepEqual([...asked].sort(), ['a', 'b', 'c', 'd', 'self']);
  assert.equal(warnings.length, 1, warnings.join('\n'));
});

test('a read is refused at once when all daemons say that none leads', async () => {
  const none = createRedirect(null);
  const {result, tookMs} = await readAt({
    answers: {self: none, a: none, b: none, c: none, d: none},
    leader: null,
  });
  assert.equal(result, null);
  assert.ok(tookMs <= 60, `${tookMs} ms`);
});

test.run();
