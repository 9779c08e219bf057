/**
 * Guards against accepted requests that get no answer because the server is
 * disposed of while callers still send requests.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'uvu';
import {NO_FACTS} from '../../coordination/forwarding/call_fakes.ts';
import {systemClock} from '../../protocol/clock.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {findFreePort} from '../test_ports.ts';
import {startFrontServer, type FrontServerOptions} from './front_server.ts';

function startServer(forward: FrontServerOptions['forward'], port: number) {
  return startFrontServer({
    host: '127.0.0.1',
    port,
    clock: systemClock,
    logger: silentLogger,
    codec: {
      decodeCall: () => NO_FACTS,
      encodeAttempt: () => [],
      gatewayOnlyAnswerHeaders: new Set(),
      decodeAnswer: () => {
        throw new Error('unexpected call of decodeAnswer()');
      },
    },
    forward,
  });
}

const REQUEST = 'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi';

type Ending = 'answered' | 'cut' | 'not accepted';

/** Sends a request; `ended` resolves to how it ended. */
function sendRequest(port: number): {ended: Promise<Ending>} {
  const ended = new Promise<Ending>(resolve => {
    let text = '';
    let isAccepted = false;
    const socket = connect(port, '127.0.0.1', () => {
      isAccepted = true;
      socket.write(REQUEST);
    });
    socket.on('data', bytes => (text += bytes.toString()));
    socket.on('error', () => {});
    socket.on('close', () => {
      if (text.endsWith('done')) resolve('answered');
      else resolve(isAccepted ? 'cut' : 'not accepted');
    });
  });
  return {ended};
}

const ANSWER_MS = 20;

for (let seed = 0; seed < 10; seed++) {
  test(`disposal cuts off no accepted request, seed ${seed}`, async () => {
    const port = await findFreePort();
    let begun = 0;
    const server = await startServer(async (_call, sink) => {
      begun++;
      await systemClock.sleep(ANSWER_MS);
      sink.answer(200, [], Buffer.from('done'));
    }, port);
    server.startClosing();
    const sent: Array<Promise<Ending>> = [];
    for (let request = 0; request < 30; request++) {
      sent.push(sendRequest(port).ended);
      if (request % 3 === seed % 3) await systemClock.sleep(1);
    }
    // The seed sets the number of event loop turns before disposal.
    for (let turn = 0; turn < seed; turn++) {
      await new Promise(resolve => setImmediate(resolve));
    }
    while (begun === 0) await systemClock.sleep(1);
    await server[Symbol.asyncDispose]();
    const endings = await Promise.all(sent);
    const answered = endings.filter(ending => ending === 'answered').length;
    assert.equal(answered, begun, `${endings}`);
  });
}

// Guards against answers that are cut in a planned stop because their caller reads
// slowly: the server had written them, and took their connections for idle.
test('closeIdleConnections() does not cut an answer that is being sent', async () => {
  const port = await findFreePort();
  const body = Buffer.alloc(16 * 1024 * 1024, 'x');
  const server = await startServer(async (_call, sink) => {
    sink.answer(200, [], body);
  }, port);
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  let received = 0;
  socket.on('data', bytes => (received += bytes.length));
  const ended = new Promise(resolve => socket.once('close', resolve));
  socket.write(REQUEST);
  while (received === 0) await systemClock.sleep(1);
  socket.pause();
  assert.equal(server.openRequests, 1);
  server.startClosing();
  server.closeIdleConnections();
  await systemClock.sleep(20);
  socket.resume();
  while (server.openRequests > 0 && !socket.destroyed) {
    await systemClock.sleep(1);
  }
  await server[Symbol.asyncDispose]();
  await ended;
  assert.ok(received > body.length, `${received} bytes`);
});

test('closeIdleConnections() closes a connection whose answer was sent', async () => {
  const port = await findFreePort();
  const server = await startServer(async (_call, sink) => {
    sink.answer(200, [], Buffer.from('done'));
  }, port);
  const socket = connect(port, '127.0.0.1');
  let text = '';
  socket.on('data', bytes => (text += bytes.toString()));
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.write(REQUEST);
  while (!text.endsWith('done')) await systemClock.sleep(1);
  server.closeIdleConnections();
  await closed;
  await server[Symbol.asyncDispose]();
});

// Guards against requests that are cut in a planned stop while they are read.
test('closeIdleConnections() leaves a connection with a part of a request', async () => {
  const port = await findFreePort();
  const server = await startServer(async (_call, sink) => {
    sink.answer(200, [], Buffer.from('done'));
  }, port);
  for (const length of [5, REQUEST.length - 1]) {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    socket.on('error', () => {});
    socket.on('data', bytes => (text += bytes.toString()));
    socket.write(REQUEST);
    while (!text.endsWith('done')) await systemClock.sleep(1);
    text = '';
    socket.write(REQUEST.slice(0, length));
    await systemClock.sleep(20);
    server.closeIdleConnections();
    await systemClock.sleep(20);
    socket.write(REQUEST.slice(length));
    while (!text.endsWith('done') && !socket.destroyed) {
      await systemClock.sleep(1);
    }
    assert.ok(text.endsWith('done'), `cut after ${length} bytes`);
    socket.destroy();
  }
  await server[Symbol.asyncDispose]();
});

test('disposal ends while a connection has not sent a request', async () => {
  const port = await findFreePort();
  const server = await startServer(async () => {}, port);
  const socket = connect(port, '127.0.0.1');
  await new Promise(resolve => socket.once('connect', resolve));
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('error', () => {});
  socket.resume();
  await server[Symbol.asyncDispose]();
  await closed;
});

test('an unexpected error fails one request with 502 and no other', async () => {
  const port = await findFreePort();
  let calls = 0;
  const server = await startServer(async (_call, sink) => {
    if (calls++ === 0) throw new Error('planted');
    sink.answer(200, [], Buffer.from('done'));
  }, port);
  const send = () =>
    fetch(`http://127.0.0.1:${port}/x`, {
      method: 'POST',
      body: 'hi',
      headers: {connection: 'close'},
    });
  const first = await send();
  assert.equal(first.status, 502);
  assert.deepEqual(await first.json(), {error: 'broken'});
  const second = await send();
  assert.equal(await second.text(), 'done');
  await server[Symbol.asyncDispose]();
});

test.run();
