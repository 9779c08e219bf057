/** Guards against acknowledged departures that a disk does not hold. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {silentLogger, type Logger} from '../../protocol/logger.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {MemoryFileSystem} from '../files/memory_file_system.ts';
import {encodeFrame} from '../log/frames.ts';
import {EndpointJournal} from './endpoint_journal.ts';

const PATH = '/data/endpoints.journal';

const HISTORIES = 200;

function createReport(
  id: string,
  change: Partial<EndpointReport> = {},
): EndpointReport {
  return {
    id,
    service: 'app',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    version: 'v1',
    slots: 2,
    state: 'gone',
    startedAtMs: 5,
    sequence: 9,
    warmupMs: 0,
    ...change,
  };
}

function openJournal(files: MemoryFileSystem, logger: Logger = silentLogger) {
  return EndpointJournal.open({
    folder: '/data',
    logger,
    files: files.connect(),
  });
}

/** Collects the messages of errors and warnings. */
function createLog(): {lines: string[]; logger: Logger} {
  const lines: string[] = [];
  const write = (message: string) => void lines.push(message);
  return {lines, logger: {...silentLogger, error: write, warn: write}};
}

async function listLoaded(files: MemoryFileSystem): Promise<string[]> {
  return (await openJournal(files)).loaded.map(({id}) => id);
}

// Guards against departures that a restart forgets, or that are kept for ever.
test('append() holds reports over a restart, clear() drops them', async () => {
  const files = new MemoryFileSystem();
  const journal = await openJournal(files);
  assert.ok(journal.isEmpty);
  assert.ok(await journal.append([createReport('e1'), createReport('e2')]));
  assert.ok(await journal.append([createReport('e3')]));
  assert.ok(!journal.isEmpty);
  assert.deepEqual((await openJournal(files)).loaded, [
    createReport('e1'),
    createReport('e2'),
    createReport('e3'),
  ]);
  assert.ok(await journal.clear());
  assert.deepEqual(await listLoaded(files), []);
});

// Guards against a loss of power, or a refused write, that costs what was synced.
test('what append() confirmed is there after crashes and failed writes', async () => {
  for (let seed = 1; seed <= HISTORIES; seed++) {
    const {next, between} = createDraws(seed);
    const files = new MemoryFileSystem();
    const confirmed = new Set<string>();
    let count = 0;
    for (let life = 0; life < 4; life++) {
      files.beforeChange = () => {};
      const journal = await openJournal(files);
      const loaded = new Set(journal.loaded.map(({id}) => id));
      const missing = [...confirmed].filter(id => !loaded.has(id));
      assert.deepEqual(missing, [], `seed ${seed}, life ${life}`);
      files.beforeChange = operation => {
        if (next() < 0.2) throw new Error(`Could not ${operation}`);
      };
      for (let step = between(0, 6); step > 0; step--) {
        const id = `e${++count}`;
        if (await journal.append([createReport(id)])) confirmed.add(id);
        if (next() >= 0.1) continue;
        confirmed.clear();
        await journal.clear();
      }
      files.crash(next);
    }
  }
});

// Guards against a full disk that fills the log, or that is never written again.
test('a failed write is logged once, and the next one may succeed', async () => {
  const files = new MemoryFileSystem();
  const {lines, logger} = createLog();
  const journal = await openJournal(files, logger);
  files.beforeChange = () => {
    throw new Error('no space left');
  };
  assert.equal(await journal.append([createReport('e1')]), false);
  assert.equal(await journal.append([createReport('e1')]), false);
  assert.equal(lines.length, 1);
  files.beforeChange = () => {};
  assert.equal(await journal.append([createReport('e2')]), true);
  assert.deepEqual(await listLoaded(files), ['e2']);
});

// Guards against an odd entry in the file that ends the daemon, or costs others.
test('open() drops odd entries and records with a log line', async () => {
  const files = new MemoryFileSystem();
  const file = await files.connect().open(PATH);
  const odd = {...createReport('e1'), address: 'worker.example:80'};
  for (const body of [
    {endpoints: [odd, createReport('e2'), null]},
    null,
    {endpoints: 7},
    {endpoints: [createReport('e3')]},
  ]) {
    await file.append(encodeFrame(body));
  }
  const {lines, logger} = createLog();
  const journal = await openJournal(files, logger);
  const ids = journal.loaded.map(({id}) => id);
  assert.deepEqual(ids, ['e2', 'e3']);
  assert.equal(lines.length, 3);
});

// Guards against departures behind a torn end, which no restart would read.
test('open() drops a torn end, and what is appended later is read', async () => {
  const files = new MemoryFileSystem();
  const first = await openJournal(files);
  await first.append([createReport('e1')]);
  const file = await files.connect().open(PATH);
  await file.append(encodeFrame({endpoints: []}).subarray(0, 7));
  const second = await openJournal(files);
  assert.equal(second.loaded.length, 1);
  await second.append([createReport('e2')]);
  assert.deepEqual(await listLoaded(files), ['e1', 'e2']);
});

test.run();
