import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
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
  address: 'a:1',
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
  part: 'p1',
  level: 3,
  isCondemned: true,
  crashes: [{start: 'e1/5', ageMs: 10}],
  clearedAgeMs: null,
};

const EMPTY = {endpoints: [], suspects: []};

function openView(files: MemoryFileSystem): ViewFile {
  return new ViewFile({
    folder: '/data',
    logger: silentLogger,
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

test.run();
