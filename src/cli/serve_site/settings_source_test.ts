import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SettingsSource} from './settings_source.ts';

function formatSettings(seed: string): string {
  return formatSeeds(`["${seed}"]`);
}

function formatSeeds(seeds: string, lines: readonly string[] = []): string {
  return [
    'name = "g1"',
    'region = "r"',
    'data_centre = "a"',
    `seeds = ${seeds}`,
    ...lines,
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

test('cached prefixes are weighed only if the settings ask for it', async () => {
  const {settings} = await openSource();
  assert.equal(settings.routing.weighs_cached_prefixes, false);
  const text = formatSettings(FIRST);
  await writeFile(file, `${text}\n[routing]\nweighs_cached_prefixes = true\n`);
  const asked = await openSource();
  assert.equal(asked.settings.routing.weighs_cached_prefixes, true);
});

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

function createRecorder() {
  const lines: string[] = [];
  const record = (message: string) => void lines.push(message);
  return {lines, logger: {...silentLogger, warn: record, error: record}};
}

const ODD_SEEDS = [
  '"10.0.0.3:99999"',
  '"10.0.0.3:0"',
  '"seed.example:80"',
  '"0.0.0.0:80"',
  '""',
  `"${'x'.repeat(100_000)}"`,
  '7',
  'inf',
  '{address = "10.0.0.3:80"}',
  `${'['.repeat(200)}${']'.repeat(200)}`,
];

// Guards against a daemon that no longer follows the seeds, or does not start,
// because of one odd entry among them.
test('an odd seed is dropped with a log line and the others hold', async () => {
  for (const odd of ODD_SEEDS) {
    await writeFile(file, formatSettings(FIRST));
    const source = await openSource();
    const {lines, logger} = createRecorder();
    const seeds = `[${odd}, "${SECOND}", ${odd}, "${FIRST}"]`;
    await writeFile(file, formatSeeds(seeds));
    await source.reload('change', logger);
    await source.reload('change', logger);
    assert.deepEqual(source.settings.seeds, [SECOND, FIRST], odd.slice(0, 40));
    assert.equal(lines.length, 1);
    const opened = await openSource();
    assert.deepEqual(opened.settings.seeds, [SECOND, FIRST]);
    assert.equal(opened.settings.refusedSeeds, 2);
  }
});

test('a list of odd seeds alone is refused', async () => {
  const source = await openSource();
  for (const odd of ODD_SEEDS) {
    const {lines, logger} = createRecorder();
    await writeFile(file, formatSeeds(`[${odd}]`));
    await source.reload('change', logger);
    assert.deepEqual(source.settings.seeds, [FIRST]);
    assert.equal(lines.length, 1);
  }
});

// Guards against a group that is formed by a part of its founders.
test('open() refuses odd seeds at the first start of the system', async () => {
  const seeds = `["${FIRST}", "${SECOND}", "10.0.0.3:99999"]`;
  await writeFile(file, formatSeeds(seeds, ['bootstrap = true']));
  const opened = await SettingsSource.open(file);
  assert.ok(!opened.ok);
  assert.match(opened.error, /seeds/);
});

test('open() refuses ports and times that cannot be used', async () => {
  const odd = [
    'directory = "10.0.0.9:99999"',
    'control = "10.0.0.9:0"',
    'front = "host.example:80"',
    'ready = 7',
    '[bounds]\ngrace_s = 1e300',
    '[bounds]\ngrace_s = inf',
    '[bounds]\nretry_window_s = nan',
    '[bounds]\ntolerated_disks = 9007199254740991',
  ];
  for (const line of odd) {
    await writeFile(file, `${formatSettings(FIRST)}\n${line}`);
    const opened = await SettingsSource.open(file);
    assert.equal(opened.ok, false, line);
  }
});

test('a deeply nested file leaves the settings unchanged', async () => {
  const source = await openSource();
  const {lines, logger} = createRecorder();
  const deep = '['.repeat(100_000) + ']'.repeat(100_000);
  await writeFile(file, formatSeeds(deep));
  await source.reload('change', logger);
  assert.deepEqual(source.settings.seeds, [FIRST]);
  assert.equal(lines.length, 1);
});

test('open() reports why a file is invalid', async () => {
  await writeFile(file, 'seeds = 7');
  const opened = await SettingsSource.open(file);
  assert.ok(!opened.ok);
  assert.match(opened.error, /seeds/);
});

test.run();
