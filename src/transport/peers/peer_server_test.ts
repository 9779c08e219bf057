/** Sends requests and frames of another protocol to the peers' address, byte by byte. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'uvu';
import {MemoryAccount} from '../../coordination/memory_account/memory_account.ts';
import {systemClock} from '../../protocol/clock.ts';
import {peerSchemas, type PeerService} from '../../protocol/peer_service.ts';
import {findFreePort} from '../test_ports.ts';
import {startPeerServer} from './peer_server.ts';

const SECRET = 'secret';
const BUDGET_BYTES = 26 * 1024 * 1024;

/** How long an answer may take, in ms. */
const ANSWER_TIMEOUT_MS = 5_000;

/** A ping with the payload `hi`, masked with zeros as a client's frames are. */
const PING = Buffer.from([0x89, 0x82, 0, 0, 0, 0, 0x68, 0x69]);
const PONG = Buffer.from([0x8a, 0x02, 0x68, 0x69]);

function createUpgrade(secret: string, lines = ''): Buffer {
  return Buffer.from(
    'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n' +
      'Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n' +
      'Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n' +
      `Authorization: Bearer ${secret}\r\n${lines}\r\n`,
  );
}

const refuse = () => Promise.reject(new Error('unexpected call'));

interface Exchange {
  readonly received: Buffer;
  readonly isClosed: boolean;
}

/** Sends `bytes` and waits until `isEnough` or the connection is closed. */
async function exchange(
  bytes: Buffer,
  isEnough: (received: Buffer) => boolean,
): Promise<Exchange> {
  const port = await findFreePort();
  const memory = new MemoryAccount({
    clock: systemClock,
    budgetBytes: BUDGET_BYTES,
  });
  await using _server = await startPeerServer({
    host: '127.0.0.1',
    port,
    secret: SECRET,
    service: new Proxy({}, {get: () => refuse}) as PeerService,
    schemas: peerSchemas,
    memory,
  });
  const socket = connect(port, '127.0.0.1');
  let received = Buffer.alloc(0);
  socket.on('error', () => {});
  socket.on('data', piece => (received = Buffer.concat([received, piece])));
  socket.write(bytes);
  const deadline = Date.now() + ANSWER_TIMEOUT_MS;
  while (!isEnough(received) && !socket.closed && Date.now() < deadline) {
    await systemClock.sleep(5);
  }
  const isClosed = socket.closed;
  socket.destroy();
  return {received, isClosed};
}

// Guards against frames that are lost or read as a request, as they arrive together
// with the request that announces them.
test('frames that come with their request are read', async () => {
  const bytes = Buffer.concat([createUpgrade(SECRET), PING]);
  const {received} = await exchange(bytes, each => each.includes(PONG));
  assert.match(received.toString('latin1'), /^HTTP\/1\.1 101 /);
  assert.ok(received.includes(PONG));
});

// Guards against frames that are read before their sender is authenticated.
test('frames without the secret are not read', async () => {
  const frames = Buffer.concat(Array.from({length: 10_000}, () => PING));
  const bytes = Buffer.concat([createUpgrade('other'), frames]);
  const {received, isClosed} = await exchange(bytes, () => false);
  assert.ok(isClosed);
  assert.ok(!received.includes(PONG));
  assert.match(received.toString('latin1'), /^(HTTP\/1\.1 401 |$)/);
});

// Guards against heads of many lines at an address whose callers send few.
test('a request of many lines is refused, with the secret as well', async () => {
  const lines = Array.from({length: 200}, (_, at) => `a${at}:\r\n`).join('');
  const bytes = createUpgrade(SECRET, lines);
  const {received} = await exchange(bytes, each => each.length > 0);
  assert.match(received.toString('latin1'), /^HTTP\/1\.1 431 /);
});

test.run();
