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
  void view.save({...CONFIGURATION, revision: 2}, []);
  void view.save({...CONFIGURATION, revision: 3}, []);
  await view.save(CONFIGURATION, [ENDPOINT]);
  while ((await view.load())?.configuration.revision !== 4) {
    await new Promise(resolve => setImmediate(resolve));
  }
  assert.deepEqual(await view.load(), {
    configuration: CONFIGURATION,
    endpoints: [ENDPOINT],
  });
});

test('load() ignores a truncated view file', async () => {
  const files = new MemoryFileSystem();
  const file = await files.connect().open('/data/view.json');
  await file.append(Buffer.from('{"configuration":'));
  assert.equal(await openView(files).load(), null);
});

test.run();
