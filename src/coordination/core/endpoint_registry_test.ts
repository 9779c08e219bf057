import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {MAX_LINEAR_GROWTH, measureGrowth} from '../../protocol/test_growth.ts';
import {EndpointRegistry} from './endpoint_registry.ts';

function createReport(change: Partial<EndpointReport> = {}): EndpointReport {
  return {
    id: 'e1',
    service: 'model',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    version: 'v1',
    slots: 4,
    state: 'ready',
    startedAtMs: 1_000,
    sequence: 1,
    warmupMs: 0,
    ...change,
  };
}

function createRegistry() {
  const clock = new SimulatedClock();
  return {clock, registry: new EndpointRegistry({clock})};
}

test('record() ignores a report that is older than the last', () => {
  const {registry} = createRegistry();
  registry.record(createReport({sequence: 5}));
  const outcome = registry.record(
    createReport({sequence: 4, state: 'draining'}),
  );
  assert.equal(outcome, 'ignored');
  assert.equal(registry.find('e1')?.state, 'ready');
});

test('record() keeps an endpoint draining or gone within one start', () => {
  const {registry} = createRegistry();
  registry.record(createReport({state: 'draining', sequence: 2}));
  registry.record(createReport({state: 'ready', sequence: 3}));
  assert.equal(registry.find('e1')?.state, 'draining');
  registry.record(createReport({state: 'gone', sequence: 3}));
  registry.record(createReport({state: 'ready', sequence: 4}));
  assert.equal(registry.find('e1')?.state, 'gone');
});

test('record() accepts a new start under the same id', () => {
  const {registry} = createRegistry();
  registry.record(createReport({state: 'draining', sequence: 90}));
  registry.record(createReport({startedAtMs: 2_000, sequence: 1}));
  assert.equal(registry.find('e1')?.state, 'ready');
});

test('record() keeps an address with the latest start', () => {
  const {registry} = createRegistry();
  registry.record(createReport());
  registry.record(
    createReport({id: 'e2', service: 'other', startedAtMs: 5_000}),
  );
  assert.equal(registry.find('e1')?.state, 'gone');
  const late = registry.record(createReport({id: 'e0', startedAtMs: 900}));
  assert.equal(late, 'ignored');
  assert.equal(registry.find('e2')?.state, 'ready');
});

test('list() returns only entries that changed after a revision', () => {
  const {registry} = createRegistry();
  registry.record(createReport());
  const {revision} = registry;
  registry.record(createReport({sequence: 2}));
  assert.deepEqual(registry.list(revision), []);
  registry.record(createReport({sequence: 3, state: 'draining'}));
  assert.equal(registry.list(revision).length, 1);
});

test('sweep() marks an endpoint silent until its next report', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport());
  await clock.advance(6_000);
  registry.sweep();
  assert.equal(registry.find('e1')?.silent, true);
  registry.record(createReport({sequence: 2}));
  assert.equal(registry.find('e1')?.silent, false);
});

test('restore() lists endpoints as silent until they report', () => {
  const {registry} = createRegistry();
  registry.restore([createReport({sequence: 7})]);
  assert.equal(registry.list()[0]?.silent, true);
  // A repeat of the saved report is ignored; a later one ends the silence.
  assert.equal(registry.record(createReport({sequence: 8})), 'changed');
  assert.equal(registry.find('e1')?.silent, false);
});

test('recordLeaving() outlasts late reports and ends with a new start', () => {
  const {registry} = createRegistry();
  registry.record(createReport());
  const before = registry.revision;
  assert.ok(registry.recordLeaving({id: 'e1', startedAtMs: 1_000}));
  assert.ok(registry.revision > before);
  assert.ok(!registry.recordLeaving({id: 'e1', startedAtMs: 1_000}));
  registry.record(createReport({sequence: 7}));
  assert.equal(registry.find('e1')?.state, 'draining');
  registry.record(createReport({startedAtMs: 2_000}));
  assert.equal(registry.find('e1')?.state, 'ready');
  // A notice for the old start does not affect the new one.
  assert.ok(!registry.recordLeaving({id: 'e1', startedAtMs: 1_000}));
  assert.equal(registry.find('e1')?.state, 'ready');
});

// Guards against a daemon that hangs while a writer reports many endpoints: all
// known ones were searched for the address of each report.
for (const [name, createChange] of [
  ['at other addresses', (index: number) => ({address: `10.0.0.1:${index}`})],
  ['at one address', (index: number) => ({startedAtMs: index})],
] as const) {
  test(`record() takes linear time for reports of endpoints ${name}`, async () => {
    const growth = await measureGrowth(
      count =>
        Array.from({length: count}, (_, index) =>
          createReport({id: `e${index}`, ...createChange(index)}),
        ),
      reports => {
        const {registry} = createRegistry();
        for (const report of reports) registry.record(report);
        assert.equal(registry.list().length, reports.length);
      },
      {size: 1_000, rounds: 3},
    );
    assert.ok(growth < MAX_LINEAR_GROWTH, `the time grew ${growth} times`);
  });
}

test('record() replaces the endpoint that holds an address now', () => {
  const {registry} = createRegistry();
  registry.record(createReport({id: 'e1', startedAtMs: 1}));
  registry.record(createReport({id: 'e1', startedAtMs: 2, address: 'b:1'}));
  registry.record(createReport({id: 'e2', startedAtMs: 3}));
  assert.equal(registry.find('e1')?.state, 'ready');
  registry.record(createReport({id: 'e3', startedAtMs: 4}));
  assert.equal(registry.find('e2')?.state, 'gone');
  const late = createReport({id: 'e4', startedAtMs: 3});
  assert.equal(registry.record(late), 'ignored');
  registry.record(createReport({id: 'e5', startedAtMs: 5, address: 'b:1'}));
  assert.equal(registry.find('e1')?.state, 'gone');
});

test('record() replaces no endpoint that has expired', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport({id: 'e1', startedAtMs: 9_000}));
  await clock.advance(61_000);
  registry.sweep();
  assert.equal(registry.find('e1'), null);
  assert.equal(registry.record(createReport({id: 'e2'})), 'changed');
});

test('record() replaces an endpoint that was restored', () => {
  const {registry} = createRegistry();
  registry.restore([createReport()]);
  registry.record(createReport({id: 'e2', startedAtMs: 2_000}));
  assert.equal(registry.find('e1')?.state, 'gone');
});

// Guards against gateways that hear of a cold start with the next change only.
test('record() tells when an endpoint turns cold, and when it is warm early', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport());
  await clock.advance(1_200);
  const cold = createReport({sequence: 2, warmupMs: 3_000});
  assert.equal(registry.record(cold), 'changed');
  await clock.advance(1_200);
  assert.equal(registry.record(createReport({sequence: 3})), 'changed');
  assert.equal(registry.list()[0]?.warmupMs, 0);
});

// Guards against a change, which all gateways are told, for each heartbeat.
test('record() renews an endpoint that becomes warm as told', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport({warmupMs: 3_000}));
  // Heartbeats are delayed differently.
  const heartbeats = [
    {afterMs: 1_300, warmupMs: 1_800},
    {afterMs: 1_250, warmupMs: 600},
    {afterMs: 1_100, warmupMs: 0},
    {afterMs: 1_200, warmupMs: 0},
  ];
  for (const [index, {afterMs, warmupMs}] of heartbeats.entries()) {
    await clock.advance(afterMs);
    const report = createReport({sequence: 2 + index, warmupMs});
    assert.equal(registry.record(report), 'renewed');
  }
});

// Guards against a cold start that is prolonged bit by bit without a change.
test('record() tells when a cold start ends later than told', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport({warmupMs: 3_000}));
  await clock.advance(1_000);
  const within = createReport({sequence: 2, warmupMs: 2_200});
  assert.equal(registry.record(within), 'renewed');
  await clock.advance(1_000);
  const beyond = createReport({sequence: 3, warmupMs: 1_400});
  assert.equal(registry.record(beyond), 'changed');
});

// Guards against a cold start that begins anew for each gateway that lists it.
test('list() tells the cold time that remains', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport({warmupMs: 3_000}), 400);
  assert.equal(registry.list()[0]?.warmupMs, 2_600);
  await clock.advance(2_000);
  assert.equal(registry.list()[0]?.warmupMs, 600);
  await clock.advance(2_000);
  assert.equal(registry.list()[0]?.warmupMs, 0);
  // Other daemons get the report as it was, with its age.
  assert.equal(registry.listReports()[0]?.warmupMs, 3_000);
  assert.equal(registry.listReportAges(['e1'])[0]?.ageMs, 4_400);
});

// Guards against an endpoint that counts as warm by a report from its silence.
test('record() marks the report that ends a silence as unconfirmed', async () => {
  const {clock, registry} = createRegistry();
  registry.record(createReport());
  await clock.advance(6_000);
  registry.sweep();
  assert.equal(registry.record(createReport({sequence: 2})), 'changed');
  assert.equal(registry.find('e1')?.unconfirmed, true);
  assert.equal(registry.record(createReport({sequence: 3})), 'changed');
  assert.equal(registry.find('e1')?.unconfirmed, undefined);
  assert.equal(registry.record(createReport({sequence: 4})), 'renewed');
});

// Guards against endpoints that count as cold since a core daemon restarted.
test('record() does not mark the first report after a restart', () => {
  const {registry} = createRegistry();
  registry.restore([createReport()]);
  registry.record(createReport({sequence: 2}));
  assert.equal(registry.find('e1')?.unconfirmed, undefined);
});

// Guards against endpoints that take all requests at once after a drain is undone.
test('requireReports() marks endpoints until their next report', () => {
  const {registry} = createRegistry();
  registry.record(createReport());
  registry.record(
    createReport({id: 'e2', address: '10.0.0.2:80', dataCentre: 'b'}),
  );
  const {revision} = registry;
  const isInA = ({dataCentre}: EndpointReport) => dataCentre === 'a';
  assert.equal(registry.requireReports(isInA), true);
  assert.deepEqual(
    registry.list(revision).map(({id, unconfirmed}) => ({id, unconfirmed})),
    [{id: 'e1', unconfirmed: true}],
  );
  assert.equal(registry.requireReports(isInA), false);
  assert.equal(registry.record(createReport({sequence: 2})), 'changed');
  assert.equal(registry.find('e1')?.unconfirmed, undefined);
});

test.run();
