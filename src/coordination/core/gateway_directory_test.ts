/**
 * Guards against callers being directed to closed gateways during a rolling
 * restart or after the loss of several gateways.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {GatewayDirectory} from './gateway_directory.ts';
import {createGatewayReport} from './gateway_report_fake.ts';

const createReport = (address: string, open = true) =>
  createGatewayReport({address, open});

function createDirectory() {
  const clock = new SimulatedClock();
  const closings: boolean[] = [];
  const directory = new GatewayDirectory({
    clock,
    onClosing: ({isDirect}) => closings.push(isDirect),
  });
  return {clock, closings, directory};
}

const listAddresses = (directory: GatewayDirectory) =>
  directory.findOpen().list.map(({address}) => address);

test('findOpen() keeps its revision while the list is unchanged', () => {
  const {directory} = createDirectory();
  directory.recordDirect(createReport('b'));
  directory.recordDirect(createReport('a'));
  const {revision} = directory.findOpen();
  directory.recordDirect(createReport('b'));
  assert.equal(directory.findOpen().revision, revision);
  assert.deepEqual(listAddresses(directory), ['a', 'b']);
});

test('findOpen() drops a gateway that stopped reporting', async () => {
  const {clock, directory} = createDirectory();
  directory.recordDirect(createReport('a'));
  const {revision} = directory.findOpen();
  await clock.advance(3_000);
  assert.ok(directory.findOpen().revision > revision);
  assert.deepEqual(listAddresses(directory), []);
});

test('onClosing runs for direct and relayed reports of a closing gateway', async () => {
  const {clock, closings, directory} = createDirectory();
  directory.recordDirect(createReport('a'));
  directory.recordDirect(createReport('b'));
  const {revision} = directory.findOpen();
  directory.recordDirect(createReport('a', false));
  await clock.advance(10);
  directory.recordRelayed([{report: createReport('b', false), ageMs: 0}]);
  assert.deepEqual(closings, [true, false]);
  assert.ok(directory.lastClosingRevision > revision);
  assert.deepEqual(listAddresses(directory), []);
});

// Guards against lists that go to all gateways each time that any host is slow.
test('findOpen() tells followers seldom of slowness, and knows it at once', async () => {
  const {clock, directory} = createDirectory();
  const report = (slowness: number) => {
    const gateway = {address: 'a', capacity: 50, slowness};
    directory.recordDirect(createGatewayReport(gateway));
    const {revision, list} = directory.findOpen();
    assert.equal(list[0]?.slowness, slowness);
    return revision;
  };
  const first = report(0);
  assert.equal(report(1), first + 1);
  let last = first + 1;
  for (let second = 1; second <= 40; second++) {
    await clock.advance(1_000);
    last = report(second % 3);
  }
  assert.ok(last - first <= 7, `${last - first} lists in 40 s`);
  // The last one is told, too.
  await clock.advance(1_000);
  report(2);
  for (let second = 0; second < 9; second++) {
    await clock.advance(1_000);
    last = report(2);
  }
  await clock.advance(1_000);
  assert.equal(report(2), last);
});

// Guards against hosts whose capacity gateways learn of after their next change only.
test('findOpen() tells followers of another capacity', () => {
  const {directory} = createDirectory();
  directory.recordDirect(createReport('a'));
  const {revision} = directory.findOpen();
  directory.recordDirect(createGatewayReport({address: 'a', capacity: 50}));
  assert.equal(directory.findOpen().revision, revision + 1);
});

test.run();
