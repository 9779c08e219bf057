import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SettingsSource} from './settings_source.ts';

function formatSettings(seed: string): string {
  return [
    'name = "g1"',
    'region = "r"',
    'data_centre = "a"',
    `seeds = ["${seed}"]`,
    'peer_secret_file = "peer.secret"',
    '[listen]',
    'peers = "10.0.0.9:7000"',
  ].join('\n');
}

const FIRST = '10.0.0.1:80';
const SECOND = '10.0.0.2:80';

let folder = '';
let file = '';

test.before.each(async () => {
  folder = await mkdtemp(join(tmpdir(), 'parsleypond-settings-'));
  file = join(folder, 'settings.toml');
  await writeFile(file, formatSettings(FIRST));
});

test.after.each(async () => {
  await rm(folder, {recursive: true});
});

async function openSource(): Promise<SettingsSource> {
  const opened = await SettingsSource.open(file);
  assert.ok(opened.ok);
  return opened.value;
}

test('reload() applies a change made before the first reload', async () => {
  const source = await openSource();
  await writeFile(file, formatSettings(SECOND));
  await source.reload('change', silentLogger);
  assert.deepEqual(source.settings.seeds, [SECOND]);
});

test('reload() keeps the settings when the file is invalid', async () => {
  const source = await openSource();
  await writeFile(file, 'seeds = 7');
  await source.reload('change', silentLogger);
  assert.deepEqual(source.settings.seeds, [FIRST]);
});

test('open() reports why a file is invalid', async () => {
  await writeFile(file, 'seeds = 7');
  const opened = await SettingsSource.open(file);
  assert.ok(!opened.ok);
  assert.match(opened.error, /seeds/);
});

test.run();
