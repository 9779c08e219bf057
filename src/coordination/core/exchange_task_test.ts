import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {CoreState} from './core_state.ts';
import type {CoreExchange} from '../../protocol/core_service.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import {startExchange} from './exchange_task.ts';
import {createGatewayReport} from './gateway_report_fake.ts';

const PLACE = {region: 'r', dataCentre: 'a', controlAddress: ''};

const PEERS = Array.from({length: 8}, (_, index) => `c${index + 2}`);

/** Exchanges with peers whose answers take `answerMs`. */
function startExchanges() {
  const clock = new SimulatedClock();
  const state = new CoreState({
    clock,
    logger: silentLogger,
    self: {address: 'c1', ...PLACE},
  });
  for (const address of PEERS) state.members.recordDirect({address, ...PLACE});
  const exchanges = {
    answerMs: 5,
    whole: [] as string[],
    sent: [] as CoreExchange[],
    clock,
    state,
    readsSuspects: true,
  };
  const task = startExchange({
    state,
    clock,
    logger: silentLogger,
    call: async (address, exchange, timeoutMs) => {
      if (exchange.wantsAll) exchanges.whole.push(address);
      if (address === PEERS[0]) exchanges.sent.push(exchange);
      await clock.sleep(Math.min(exchanges.answerMs, timeoutMs));
      if (exchanges.answerMs > timeoutMs) throw new Error('timed out');
      const {readsSuspects} = exchanges;
      return {cores: [], reports: [], gateways: [], readsSuspects};
    },
  });
  return {exchanges, task};
}

// Guards against core daemons that stay short of processor time: each exchange that was
// late asked for the whole state again, which made the next ones late.
test('whole states are asked for once in a while after late exchanges', async () => {
  const {exchanges} = startExchanges();
  const {clock, whole} = exchanges;
  await clock.advance(500);
  assert.deepEqual([...whole].sort(), PEERS);
  exchanges.answerMs = 1_100;
  whole.length = 0;
  await clock.advance(6_000);
  assert.ok(whole.length <= 7, `${whole.length} while late`);
  // Its answer arrives in time after all.
  const last = whole.at(-1);
  exchanges.answerMs = 5;
  whole.length = 0;
  await clock.advance(2_000);
  assert.ok(whole.length <= 3, `${whole.length} after it`);
  await clock.advance(12_000);
  // Each peer may have learned what its daemon could not send any more.
  assert.deepEqual([...new Set([last, ...whole])].sort(), PEERS);
});

/** A suspect that gateways are told of at once. */
function createSuspect(part: string, crashes: number): SuspectRecord {
  return {
    service: 'app',
    kind: 'part',
    part,
    customers: ['c1'],
    level: 1,
    isCondemned: false,
    crashes: Array.from({length: crashes}, (_, index) => ({
      start: `${part}-${index}/1`,
      ageMs: 0,
      exposureMs: 50,
      refutedAgeMs: null,
    })),
    clearedAgeMs: null,
  };
}

/** The report of a busy gateway on a suspect that all need to know. */
function createBusyReport(address: string, part: string, crashes: number) {
  return createGatewayReport(
    {address},
    {
      loads: [{id: 'e1', open: 1, readingMs: 0}],
      suspects: [createSuspect(part, crashes)],
    },
  );
}

// Guards against core daemons that pass on what was passed on to them, each to all.
test('a suspect that another core daemon told is not passed on', async () => {
  const {exchanges} = startExchanges();
  const {clock, state, sent} = exchanges;
  await clock.advance(1_000);
  sent.length = 0;
  const empty = {cores: [], reports: [], gateways: []};
  for (let index = 0; index < 10; index++) {
    const suspects = [createSuspect(`p${index}`, 2)];
    state.mergeExchange({...empty, suspects}, 'c2');
    const report = createBusyReport(`g${index}`, `q${index}`, 2);
    state.mergeExchange({...empty, gateways: [{report, ageMs: 0}]}, 'c2');
    await clock.advance(50);
  }
  assert.ok(sent.length <= 1, `${sent.length} exchanges`);
  await clock.advance(2_000);
  assert.deepEqual(
    sent.flatMap(({suspects = [], gateways}) => [...suspects, ...gateways]),
    [],
  );
});

// Guards against exchanges that carry more the more often they are sent.
test('urgent exchanges carry each change once, and no whole reports', async () => {
  const {exchanges} = startExchanges();
  const {clock, state, sent} = exchanges;
  const reportAll = () => {
    for (let index = 0; index < 30; index++) {
      state.gateways.recordDirect(createGatewayReport({address: `g${index}`}));
    }
  };
  reportAll();
  await clock.advance(1_000);
  sent.length = 0;
  for (let index = 0; index < 20; index++) {
    reportAll();
    state.gateways.recordDirect(createBusyReport('g1', `p${index}`, 2));
    await clock.advance(35);
  }
  await clock.advance(10);
  assert.ok(sent.length >= 3 && sent.length <= 6, `${sent.length} exchanges`);
  const parts = sent.flatMap(({suspects = []}) =>
    suspects.map(({part}) => part),
  );
  assert.equal(new Set(parts).size, parts.length);
  assert.ok(parts.length >= 15);
  const whole = sent.filter(({gateways}) => gateways.length > 1);
  assert.ok(whole.length <= 2, `${whole.length} with all reports`);
});

// Guards against gateways that go on sending to an endpoint that left, or callers that
// are directed to a closed gateway, until the next regular exchange.
test('an urgent change after a regular exchange is sent at once', async () => {
  const {exchanges} = startExchanges();
  const {clock, state, sent} = exchanges;
  const report = createGatewayReport({address: 'g1'});
  state.gateways.recordDirect(report);
  await clock.advance(1_000);
  const before = sent.length;
  while (sent.length === before) await clock.advance(5);
  sent.length = 0;
  const closing = createGatewayReport({address: 'g1', open: false});
  state.gateways.recordDirect(closing);
  await clock.advance(20);
  assert.deepEqual(
    sent.map(({gateways}) => gateways.map(each => each.report.gateway.open)),
    [[false]],
  );
});

// Guards against a verdict that daemons of the build before do not hear of.
test('a daemon of an earlier version gets suspects in a report', async () => {
  const {exchanges} = startExchanges();
  const {clock, state, sent} = exchanges;
  exchanges.readsSuspects = false;
  await clock.advance(1_000);
  sent.length = 0;
  state.gateways.recordDirect(createBusyReport('g1', 'p', 2));
  await clock.advance(1_000);
  const records = sent.flatMap(({gateways}) =>
    gateways.flatMap(({report}) => report.suspects),
  );
  assert.deepEqual(
    records.map(({part, crashes}) => [part, crashes.length]),
    [['p', 2]],
  );
});

test.run();
