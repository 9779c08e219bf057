/** Sends malformed, oversized, truncated and unauthorized input. */
import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import fc from 'fast-check';
import {request} from 'undici';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import WebSocket from 'ws';
import {hashKey, System} from '../system/system.ts';

const SEED = 20261203;

const RUNS = 120;

const KEY = 'key-of-desk';

/** The most that the daemon's resident memory may grow by. */
const MEMORY_GROWTH_BYTES = 96 * 1024 * 1024;

/** The timeout after which the test closes a connection itself. */
const CONNECTION_TIMEOUT_MS = 15_000;

const MAX_INPUT_BYTES = 20_000;

const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};

const declaration = {
  version: 1,
  customers: [{name: 'desk', key_sha256: hashKey(KEY)}],
};

async function startSystem(): Promise<System> {
  const system = await System.start({
    hosts: [{name: 'a1', ...place, disk: true}],
    endpoints: [],
  });
  try {
    await system.waitForAllHosts();
    const applied = await system.apply('a1', declaration);
    assert.is(applied.code, 0, applied.output + applied.errors);
    return system;
  } catch (error) {
    await system[Symbol.asyncDispose]();
    throw error;
  }
}

/** Reads the resident memory of a process in bytes. */
function readMemory(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) * 1024;
}

/** Sends bytes; resolves with the answer when the connection is closed. */
function sendBytes(address: string, bytes: Uint8Array): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let answer = '';
    const socket = connect(Number(port), host);
    const timer = setTimeout(() => socket.destroy(), CONNECTION_TIMEOUT_MS);
    socket.on('data', data => (answer += data.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(answer);
    });
    socket.end(bytes);
  });
}

const randomHeaders = fc.dictionary(
  fc.stringMatching(/^[a-z][a-z0-9-]{0,20}$/),
  fc.stringMatching(/^[!-~]{0,200}$/),
  {maxKeys: 8},
);

const rawInput = fc.oneof(
  fc.uint8Array({maxLength: MAX_INPUT_BYTES}),
  fc.string({maxLength: 500}).map(text => Buffer.from(text)),
  fc
    .tuple(fc.string({maxLength: 40}), fc.string({maxLength: 2_000}))
    .map(([method, path]) => Buffer.from(`${method} ${path} HTTP/1.1\r\n\r\n`)),
  fc
    .nat(40_000)
    .map(length =>
      Buffer.from(
        `GET / HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(length)}\r\n\r\n`,
      ),
    ),
  fc
    .integer({min: -5, max: 1_000_000})
    .map(length =>
      Buffer.from(
        `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: ${length}\r\n\r\n{`,
      ),
    ),
);

test('malformed bytes on its listeners do not stop the daemon', async () => {
  await using system = await startSystem();
  const pid = system.daemons.get('a1')?.pid ?? 0;
  const before = readMemory(pid);
  const addresses = [
    system.getPublicAddress('a1'),
    system.getPeerAddress('a1'),
  ];
  await fc.assert(
    fc.asyncProperty(rawInput, async input => {
      for (const address of addresses) {
        const answer = await sendBytes(address, input);
        assert.not.match(answer, /^HTTP\/1\.1 (2|5)\d\d/);
      }
    }),
    {seed: SEED, numRuns: RUNS},
  );
  await system.waitForHost('a1');
  assert.is(system.daemons.get('a1')?.pid, pid);
  const grown = readMemory(pid) - before;
  assert.ok(
    grown < MEMORY_GROWTH_BYTES,
    `resident memory grew by ${grown} bytes`,
  );
});

test('malformed requests get a 4xx error on every route', async () => {
  await using system = await startSystem();
  const base = `http://${system.getPublicAddress('a1')}`;
  const routes = fc.constantFrom(
    '/v1/chat/completions',
    '/v1/services/booking/bookings',
    '/endpoints/announce',
    '/operator/commands',
    '/operator/bills/archive',
  );
  const secrets = fc.constantFrom(
    KEY,
    'operator-secret',
    'endpoint-secret',
    'nobody',
    '',
  );
  const bodies = fc.oneof(
    fc.json({maxDepth: 8}),
    fc.string({maxLength: 2_000}),
    fc.jsonValue({maxDepth: 3}).map(value => JSON.stringify({model: value})),
  );
  await fc.assert(
    fc.asyncProperty(
      routes,
      secrets,
      bodies,
      randomHeaders,
      async (route, secret, body, headers) => {
        const response = await request(base + route, {
          method: 'POST',
          headers: {...headers, authorization: `Bearer ${secret}`},
          body,
        }).catch(() => null);
        if (!response) return;
        const text = await response.body.text();
        const {statusCode} = response;
        assert.ok(
          statusCode >= 400 && statusCode < 500,
          `${route} answered ${statusCode}: ${text}`,
        );
        if (text !== '') assert.ok('error' in JSON.parse(text), text);
      },
    ),
    {seed: SEED, numRuns: 2 * RUNS},
  );
  await system.waitForHost('a1');
});

test('unauthorized or malformed peer messages change nothing', async () => {
  await using system = await startSystem();
  const url = `ws://${system.getPeerAddress('a1')}`;
  const unauthorizedPeer = new WebSocket(url, {
    headers: {authorization: 'Bearer guess'},
  });
  const refused = await new Promise<boolean>(resolve => {
    unauthorizedPeer.once('error', () => resolve(true));
    unauthorizedPeer.once('open', () => resolve(false));
  });
  assert.is(refused, true);
  const revision = (await system.readStatus('a1')).revision;
  const peer = new WebSocket(url, {
    headers: {authorization: 'Bearer peer-secret'},
  });
  await new Promise((resolve, reject) => {
    peer.once('open', resolve);
    peer.once('error', reject);
  });
  peer.on('error', () => {});
  const paths = ['vote', 'append', 'propose', 'renewLease', 'exchange', 'x'];
  fc.assert(
    fc.property(
      fc.constantFrom(...paths),
      fc.jsonValue({maxDepth: 4}),
      (path, input) => {
        const params = {path, input};
        peer.send(JSON.stringify({id: 1, method: 'mutation', params}));
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
  peer.send('not JSON');
  await system.waitForHost('a1');
  assert.is((await system.readStatus('a1')).revision, revision);
  peer.terminate();
});

test.run();
