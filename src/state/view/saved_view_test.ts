import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger, type Logger} from '../../protocol/logger.ts';
import {MemoryFileSystem} from '../files/memory_file_system.ts';
import {ViewFile} from './saved_view.ts';

const CONFIGURATION = {
  revision: 4,
  version: 7,
  document: '{}',
  rollouts: [],
};

const ENDPOINT = {
  id: 'e1',
  service: 'app',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  version: 'v1',
  slots: 2,
  state: 'ready' as const,
  startedAtMs: 5,
  sequence: 9,
  warmupMs: 0,
};

const SUSPECT = {
  service: 'app',
  kind: 'part' as const,
  customers: [],
  part: 'p1',
  level: 3,
  isCondemned: true,
  crashes: [{start: 'e1/5', ageMs: 10, exposureMs: 100, refutedAgeMs: null}],
  clearedAgeMs: null,
};

const EMPTY = {endpoints: [], suspects: []};

function openView(
  files: MemoryFileSystem,
  logger: Logger = silentLogger,
): ViewFile {
  return new ViewFile({
    folder: '/data',
    logger,
    files: files.connect(),
  });
}

test('load() returns the last saved view', async () => {
  const files = new MemoryFileSystem();
  const view = openView(files);
  assert.equal(await view.load(), null);
  void view.save({...EMPTY, configuration: {...CONFIGURATION, revision: 2}});
  void view.save({...EMPTY, configuration: {...CONFIGURATION, revision: 3}});
  const saved = {
    configuration: CONFIGURATION,
    endpoints: [ENDPOINT],
    suspects: [SUSPECT],
  };
  await view.save(saved);
  while ((await view.load())?.configuration.revision !== 4) {
    await new Promise(resolve => setImmediate(resolve));
  }
  assert.deepEqual(await view.load(), saved);
});

test('load() reads a view of an earlier version, without suspected parts', async () => {
  const files = new MemoryFileSystem();
  const file = await files.connect().open('/data/view.json');
  const earlier = {configuration: CONFIGURATION, endpoints: []};
  await file.append(Buffer.from(JSON.stringify(earlier)));
  const view = await openView(files).load();
  assert.deepEqual(view, {...earlier, suspects: []});
});

test('load() ignores a truncated view file', async () => {
  const files = new MemoryFileSystem();
  const file = await files.connect().open('/data/view.json');
  await file.append(Buffer.from('{"configuration":'));
  assert.equal(await openView(files).load(), null);
});

const DEEP = '['.repeat(100_000) + ']'.repeat(100_000);

/** Entries of the saved lists that no daemon can use, as JSON text. */
const ODD_ENDPOINTS: readonly string[] = [
  'null',
  '[]',
  DEEP,
  ...[
    {address: '10.0.0.1:99999'},
    {address: '10.0.0.1:0'},
    {address: 'worker.example:80'},
    {startedAtMs: Number.MAX_SAFE_INTEGER},
    {sequence: 1e308},
    {slots: null},
    {id: 'x'.repeat(100_000)},
  ].map(change => JSON.stringify({...ENDPOINT, ...change})),
  JSON.stringify(ENDPOINT).replace('"slots":2', '"slots":1e400'),
];

// Guards against an odd entry in the file that costs a restarted daemon all
// saved endpoints, or that outlives the restart.
test('load() drops odd entries with a log line and keeps the others', async () => {
  for (const odd of ODD_ENDPOINTS) {
    const files = new MemoryFileSystem();
    const file = await files.connect().open('/data/view.json');
    const sound = JSON.stringify(ENDPOINT);
    const suspects = `[null,${JSON.stringify(SUSPECT)},{"service":"app"}]`;
    const text =
      `{"configuration":${JSON.stringify(CONFIGURATION)},` +
      `"endpoints":[${odd},${sound},${odd}],"suspects":${suspects}}`;
    await file.append(Buffer.from(text));
    const lines: string[] = [];
    const logger = {
      ...silentLogger,
      warn: (message: string) => void lines.push(message),
    };
    const view = await openView(files, logger).load();
    const loaded = {
      configuration: CONFIGURATION,
      endpoints: [ENDPOINT],
      suspects: [SUSPECT],
    };
    assert.deepEqual(view, loaded, odd.slice(0, 80));
    assert.equal(lines.length, 1);
    await openView(files).save(loaded);
    assert.deepEqual(await openView(files).load(), loaded);
  }
});

test('load() drops an odd roll-out and keeps the configuration', async () => {
  const files = new MemoryFileSystem();
  const file = await files.connect().open('/data/view.json');
  // JSON writes an infinite number as null.
  const rollouts = [{service: 'app', durationMs: null}];
  const configuration = {...CONFIGURATION, rollouts};
  await file.append(
    Buffer.from(JSON.stringify({configuration, endpoints: [ENDPOINT]})),
  );
  const view = await openView(files).load();
  assert.deepEqual(view?.configuration, CONFIGURATION);
  assert.deepEqual(view?.endpoints, [ENDPOINT]);
});

test('load() ignores a file of another form', async () => {
  for (const text of ['null', '[]', '7', DEEP, `{"configuration":${DEEP}}`]) {
    const files = new MemoryFileSystem();
    const file = await files.connect().open('/data/view.json');
    await file.append(Buffer.from(text));
    assert.equal(await openView(files).load(), null, text.slice(0, 40));
  }
});

test.run();
