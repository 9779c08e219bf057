import assert from 'node:assert/strict';
import {test} from 'uvu';
import {CoreState} from '../../coordination/core/core_state.ts';
import {createEndpoint} from '../../coordination/forwarding/forwarding_fakes.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {RoutingState} from '../../state/routing/routing_state.ts';
import {EndpointJournal} from '../../state/view/endpoint_journal.ts';
import {DisposableStore} from '../serve/disposable_store.ts';
import {openView} from './committed_view.ts';

const FOLDER = '/data';

const CONFIGURATION = {revision: 4, version: 7, document: '{}', rollouts: []};

function createReport(
  id: string,
  change: Partial<EndpointReport> = {},
): EndpointReport {
  const address = `10.2.0.1:${id.replace('e', '80')}`;
  const all = {address, ...change};
  const {silent: _silent, ...report} = createEndpoint(id, all);
  return report;
}

/** Writes a view as builds without a journal did. */
async function writeView(
  files: MemoryFileSystem,
  endpoints: readonly EndpointReport[],
): Promise<void> {
  const file = await files.connect().open(`${FOLDER}/view.json`);
  const view = {configuration: CONFIGURATION, endpoints, suspects: []};
  await file.append(Buffer.from(JSON.stringify(view)));
  await file.sync();
  await files.connect().syncFolder(FOLDER);
}

/** Starts what a daemon keeps on a disk. */
async function start(files: MemoryFileSystem) {
  const clock = new SimulatedClock();
  const self = {
    address: 'c1',
    region: 'r',
    dataCentre: 'a',
    controlAddress: '',
  };
  const state = new CoreState({clock, logger: silentLogger, self});
  const view = await openView({
    folder: FOLDER,
    clock,
    logger: silentLogger,
    store: new DisposableStore(),
    state,
    routing: new RoutingState(),
    files: files.connect(),
  });
  return {clock, state, view};
}

/** Lets the operations of the disk end. */
function waitForDisk(clock: SimulatedClock): Promise<void> {
  return clock.advance(1);
}

/** Loses all that is not synced. */
function losePower(files: MemoryFileSystem): void {
  files.crash(() => 0.99);
}

// Guards against a build that does not start on the disk of an earlier one.
test('openView() restores a disk without a journal', async () => {
  const files = new MemoryFileSystem();
  await writeView(files, [createReport('e1')]);
  const {state, view} = await start(files);
  assert.equal(state.endpoints.find('e1')?.state, 'ready');
  assert.deepEqual(view.getConfiguration(), CONFIGURATION);
});

// Guards against departures that are lost with the memory of the daemon.
test('openView() restores the departures since the last saved view', async () => {
  const files = new MemoryFileSystem();
  await writeView(files, [createReport('e1'), createReport('e2')]);
  const {clock, state, view} = await start(files);
  state.recordReport(createReport('e1', {state: 'draining', sequence: 2}));
  state.recordReport(createReport('e3', {state: 'gone'}));
  view.saved.saveSoon();
  await waitForDisk(clock);
  assert.equal(view.saved.revision, state.endpoints.revision);
  losePower(files);
  const {endpoints} = (await start(files)).state;
  assert.equal(endpoints.find('e1')?.state, 'draining');
  assert.equal(endpoints.find('e2')?.state, 'ready');
  assert.equal(endpoints.find('e3')?.state, 'gone');
});

// Guards against a journal that grows for ever.
test('a saved view replaces the journal', async () => {
  const files = new MemoryFileSystem();
  const {clock, state, view} = await start(files);
  state.recordReport(createReport('e1', {state: 'draining'}));
  view.saved.saveSoon();
  await waitForDisk(clock);
  const size = async () =>
    (await files.read(`${FOLDER}/endpoints.journal`))?.length;
  assert.ok(((await size()) ?? 0) > 0);
  view.saveIfChanged();
  await waitForDisk(clock);
  assert.equal(await size(), 0);
  losePower(files);
  const {endpoints} = (await start(files)).state;
  assert.equal(endpoints.find('e1')?.state, 'draining');
});

// Guards against a journal that undoes what an earlier build saved while it ran
// between two runs of this one.
test('openView() keeps what is newer in the view than in the journal', async () => {
  const files = new MemoryFileSystem();
  const journal = await EndpointJournal.open({
    folder: FOLDER,
    logger: silentLogger,
    files: files.connect(),
  });
  await journal.append([
    createReport('e1', {startedAtMs: 1, state: 'gone'}),
    createReport('e2', {startedAtMs: 1}),
  ]);
  await writeView(files, [
    createReport('e1', {startedAtMs: 2}),
    createReport('e2', {startedAtMs: 1, state: 'draining'}),
  ]);
  const {endpoints} = (await start(files)).state;
  assert.equal(endpoints.find('e1')?.startedAtMs, 2);
  assert.equal(endpoints.find('e1')?.state, 'ready');
  assert.equal(endpoints.find('e2')?.state, 'draining');
});

test.run();
