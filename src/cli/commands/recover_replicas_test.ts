import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'uvu';
import {openFileLog} from '../../state/log/file_log.ts';
import {describeLog} from '../../state/log/recover_log.ts';
import {encodeSnapshot} from '../../state/snapshot/snapshot_codec.ts';
import {recoverReplicas} from './recover_replicas.ts';

/** Nothing listens on the discard port of the loopback address. */
const PEERS = '127.0.0.1:9';

let folder = '';
let file = '';

test.before.each(async () => {
  folder = await mkdtemp(join(tmpdir(), 'parsleypond-recover-'));
  file = join(folder, 'settings.toml');
  const log = await openGroup();
  const voters = ['b', 'c', 'd'].map(name => ({name, incarnation: name}));
  const snapshot = {index: 0, term: 0, membership: {voters}, state: null};
  await log.saveSnapshot(snapshot, encodeSnapshot(snapshot));
  await log.append([{index: 1, term: 1, command: 'x'}]);
  await log[Symbol.asyncDispose]();
});

test.after.each(() => rm(folder, {recursive: true, force: true}));

async function openGroup() {
  const opened = await openFileLog({folder: join(folder, 'data', 'group')});
  if (!opened.ok) throw opened.error;
  return opened.value;
}

function formatCommonSettings(): string[] {
  return [
    'name = "host"',
    'region = "r"',
    'data_centre = "a"',
    `data_folder = ${JSON.stringify(join(folder, 'data'))}`,
  ];
}

function formatSystemSettings(): string {
  return [
    ...formatCommonSettings(),
    'listen = {public = "127.0.0.1:10", peers = "127.0.0.1:9"}',
    'secrets = {peer_file = "p", operator_file = "o", endpoint_file = "e"}',
    '[[replicas]]',
    'name = "host"',
    'region = "r"',
    'data_centre = "a"',
    'address = "127.0.0.1:9"',
  ].join('\n');
}

function formatSiteSettings(peers = PEERS): string {
  return [
    ...formatCommonSettings(),
    'seeds = ["127.0.0.1:80"]',
    'peer_secret_file = "p"',
    `listen = {peers = "${peers}"}`,
  ].join('\n');
}

async function recover(settings: string, acceptLoss: boolean) {
  await writeFile(file, settings);
  const lines: string[] = [];
  const print = (line: string) => lines.push(line);
  const exitCode = await recoverReplicas(file, {acceptLoss, print});
  await using log = await openGroup();
  const voters = describeLog(log).voters.map(({name}) => name);
  return {exitCode, voters, output: lines.join('\n')};
}

test('recoverReplicas() names the voter as a system does', async () => {
  const {exitCode, voters} = await recover(formatSystemSettings(), true);
  assert.equal(exitCode, 0);
  assert.deepEqual(voters, ['host']);
});

// Guards against a routing site that no command recovers, and against a voter
// that its peers know by another name.
test('recoverReplicas() names the voter as a routing site does', async () => {
  const {exitCode, voters} = await recover(formatSiteSettings(), true);
  assert.equal(exitCode, 0);
  assert.deepEqual(voters, [PEERS]);
});

test('recoverReplicas() only reports unless the loss is accepted', async () => {
  const {exitCode, voters, output} = await recover(formatSiteSettings(), false);
  assert.equal(exitCode, 1);
  assert.deepEqual(voters, ['b', 'c', 'd']);
  assert.match(output, /group: this disk holds entries up to 1 /);
  assert.match(output, /erase the data folders of b, c, d/);
});

test('recoverReplicas() refuses while a daemon of the host listens', async () => {
  const server = createServer(socket => socket.destroy());
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as {port: number};
  try {
    await assert.rejects(
      recover(formatSiteSettings(`127.0.0.1:${port}`), true),
      /Could not recover: a daemon runs at/,
    );
  } finally {
    server.close();
  }
});

test('recoverReplicas() reports invalid settings by line', async () => {
  const settings = formatSiteSettings().replace(PEERS, 'nowhere');
  const {exitCode, voters, output} = await recover(settings, true);
  assert.equal(exitCode, 2);
  assert.deepEqual(voters, ['b', 'c', 'd']);
  assert.match(output, /settings\.toml:\d+: listen\.peers: expected/);
});

test.run();
