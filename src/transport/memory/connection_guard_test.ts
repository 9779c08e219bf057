import assert from 'node:assert/strict';
import {createServer, request, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {test} from 'uvu';
import {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import {systemClock} from '../../protocol/clock.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {startApiServer} from '../forwarding/api_server.ts';
import {closeServer, startListening} from '../http_server.ts';
import {findFreePort} from '../test_ports.ts';
import {
  ConnectionGuard,
  type ConnectionGuardOptions,
} from './connection_guard.ts';

const KIB = 1024;
const MIB = 1024 * KIB;

const WAIT_TIMEOUT_MS = 5_000;

function createAccount(budgetBytes = 26 * MIB): MemoryAccount {
  return new MemoryAccount({clock: systemClock, budgetBytes});
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!isTrue()) {
    if (Date.now() > deadline) throw new Error('Timed out');
    await sleep(10);
  }
}

/** Connects, and writes without reading an answer. */
function openRaw(port: number, text: string | Buffer): Socket {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.pause();
  // A test that fails leaves it open.
  socket.unref();
  socket.write(text);
  return socket;
}

async function startGuarded(
  options: ConnectionGuardOptions,
  serve: (response: ServerResponse) => void,
) {
  const port = await findFreePort();
  const server = createServer((incoming, response) => {
    if (guard.admit(incoming, response)) serve(response);
  });
  const guard = new ConnectionGuard(server, options);
  await startListening(server, {host: '127.0.0.1', port});
  return {
    port,
    guard,
    async [Symbol.asyncDispose]() {
      await closeServer(server);
      guard[Symbol.dispose]();
    },
  };
}

async function startApi(memory: MemoryAccount) {
  const port = await findFreePort();
  const gate: {open: () => void; opened: Promise<void>} = {
    open: () => {},
    opened: Promise.resolve(),
  };
  const server = await startApiServer({
    host: '127.0.0.1',
    port,
    logger: silentLogger,
    memory,
    routes: [
      {
        method: 'POST',
        path: '/document',
        maxBodyBytes: 8 * MIB,
        handle: async ({body}) => {
          await gate.opened;
          return {status: 200, json: body.length};
        },
      },
      {
        method: 'GET',
        path: '/large',
        handle: async () => ({status: 200, text: 'x'.repeat(8 * MIB)}),
      },
    ],
  });
  return {
    port,
    block: () => {
      gate.opened = new Promise(resolve => (gate.open = resolve));
    },
    unblock: () => gate.open(),
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
  };
}

function send(port: number, bytes: number) {
  return new Promise<{status: number; headers: object; text: string}>(
    (resolve, reject) => {
      const sent = request(
        {
          host: '127.0.0.1',
          port,
          path: '/document',
          method: 'POST',
          agent: false,
          timeout: WAIT_TIMEOUT_MS,
          headers: {'Content-Length': String(bytes)},
        },
        response => {
          let text = '';
          response.on('data', piece => (text += String(piece)));
          response.on('error', () => {});
          response.on('end', () =>
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              text,
            }),
          );
        },
      );
      sent.on('error', reject);
      sent.on('timeout', () => sent.destroy(new Error('Timed out')));
      sent.end(Buffer.alloc(bytes, 'x'));
    },
  );
}

function createOpenBody(bytes: number): Buffer {
  return Buffer.concat([
    Buffer.from(
      'POST /document HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n' +
        `${bytes.toString(16)}\r\n`,
    ),
    Buffer.alloc(bytes, 'x'),
    Buffer.from('\r\n'),
  ]);
}

// Guards against bounds that the largest request in calm meets.
test('the largest document is served in calm, and nothing stays held', async () => {
  const memory = createAccount();
  await using api = await startApi(memory);
  for (let round = 0; round < 3; round++) {
    const {status, text} = await send(api.port, 8 * MIB);
    assert.equal(status, 200);
    assert.equal(text, String(8 * MIB));
  }
  await waitUntil(() => memory.bytes === 0);
});

// Guards against bodies that stay open and take the memory of others.
test('bodies that stay open make way for an ordinary request', async () => {
  const memory = createAccount(4 * MIB);
  await using api = await startApi(memory);
  const rough = Array.from({length: 6}, () =>
    openRaw(api.port, createOpenBody(MIB)),
  );
  await waitUntil(() => memory.countBytes('body') > 2 * MIB);
  const {status} = await send(api.port, 500 * KIB);
  assert.equal(status, 200);
  assert.ok(memory.bytes <= 4 * MIB);
  assert.ok((memory.takeRejections().get('body budget') ?? 0) > 0);
  for (const socket of rough) socket.destroy();
  await waitUntil(() => memory.bytes === 0);
});

// Guards against a refusal of a request that runs, and against one without the
// time to come back.
test('a body that finds no memory is refused as not run', async () => {
  const memory = createAccount(4 * MIB);
  await using api = await startApi(memory);
  api.block();
  const running = send(api.port, 1_900_000);
  // It is closed with the server if the test fails before.
  running.catch(() => {});
  await waitUntil(() => memory.countBytes('body') > 3 * MIB);
  const refused = await send(api.port, 500 * KIB);
  assert.equal(refused.status, 503);
  assert.equal(Reflect.get(refused.headers, 'retry-after'), '1');
  assert.equal(Reflect.get(refused.headers, 'connection'), 'close');
  api.unblock();
  assert.equal((await running).status, 200);
});

// Guards against large answers that many callers ask for and do not read.
test('answers that are not read stay within the budget', async () => {
  const memory = createAccount(26 * MIB);
  await using api = await startApi(memory);
  const get = 'GET /large HTTP/1.1\r\nHost: a\r\n\r\n';
  const rough = Array.from({length: 8}, () => openRaw(api.port, get));
  await waitUntil(
    () => (memory.takeRejections().get('unread budget') ?? 0) > 0,
  );
  assert.ok(memory.bytes <= 26 * MIB);
  assert.equal((await send(api.port, 10 * KIB)).status, 200);
  for (const socket of rough) socket.destroy();
  await waitUntil(() => memory.bytes === 0);
});

// Guards against pipelined requests whose answers fill the heap.
test('a connection with too many pipelined requests is closed', async () => {
  const memory = createAccount();
  const held: ServerResponse[] = [];
  await using server = await startGuarded({memory}, response => {
    held.push(response);
  });
  const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
  const sound = openRaw(server.port, get.repeat(100));
  await waitUntil(() => held.length === 100);
  const rough = openRaw(server.port, get.repeat(5_000));
  await waitUntil(() => memory.takeRejections().has('connection pipelined'));
  assert.ok(held.length <= 200, `${held.length} requests were served`);
  rough.destroy();
  let text = '';
  sound.on('data', piece => (text += String(piece)));
  sound.resume();
  for (const response of held.slice(0, 100)) response.end();
  await waitUntil(() => text.split('HTTP/1.1 200').length === 101);
  sound.destroy();
  await waitUntil(() => memory.bytes === 0);
});

// Guards against a caller that keeps its answer unread for ever, and against the
// end of one whose answer only takes long.
test('a connection whose answers are not read is closed', async () => {
  const memory = createAccount();
  const held: ServerResponse[] = [];
  const options = {memory, stallTimeoutMs: 200};
  await using server = await startGuarded(options, response => {
    if (held.push(response) === 1) response.end(Buffer.alloc(10 * MIB));
  });
  const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
  const stalling = openRaw(server.port, get);
  await waitUntil(() => held.length === 1);
  const waiting = openRaw(server.port, get);
  await waitUntil(() => held[0]?.closed === true);
  assert.ok(memory.takeRejections().has('connection unread'));
  await sleep(700);
  assert.equal(waiting.destroyed, false);
  assert.equal(held[1]?.destroyed, false);
  for (const socket of [stalling, waiting]) socket.destroy();
  await waitUntil(() => memory.bytes === 0);
});

// Guards against a server that is full of connections without a request, and
// against one that is said to be ready while all of its connections are in use.
test('connections without a request make way for others', async () => {
  const memory = createAccount();
  const held: ServerResponse[] = [];
  const options = {memory, maxConnections: 10};
  await using server = await startGuarded(options, response => {
    held.push(response);
  });
  const rough = Array.from({length: 30}, () => openRaw(server.port, 'GET /'));
  await waitUntil(
    () => rough.filter(socket => socket.readyState === 'open').length > 0,
  );
  await sleep(300);
  assert.ok(server.guard.hasRoom);
  const sockets: Socket[] = [];
  const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
  for (let index = 0; index < 9; index++) {
    sockets.push(openRaw(server.port, get));
    await waitUntil(() => held.length === index + 1);
  }
  sockets.push(openRaw(server.port, get));
  await waitUntil(() => held.length === 10);
  assert.ok(!server.guard.hasRoom, 'all connections are in use');
  assert.ok(memory.takeRejections().has('connection idle'));
  for (const response of held) response.end();
  await sleep(50);
  for (const socket of [...rough, ...sockets]) socket.destroy();
  await waitUntil(() => memory.bytes === 0);
  assert.ok(server.guard.hasRoom);
});

test.run();
