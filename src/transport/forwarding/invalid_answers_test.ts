/**
 * Guards against what was seen of faulty endpoints on other systems: a part of an
 * answer without a length that the caller got as a whole one, since the connection
 * was reset while the upload was still being written, and answers whose status is
 * none of HTTP.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'uvu';
import type {AttemptOutcome} from '../../coordination/forwarding/call.ts';
import {PLAIN_ANSWER} from '../../coordination/forwarding/fake_answers.ts';
import {createCall} from '../../coordination/forwarding/call_fakes.ts';
import {EndpointClient, type SendOptions} from './endpoint_client.ts';

/** More than the buffers of both ends of a connection hold. */
const LONG_UPLOAD_BYTES = 32 * 1024 * 1024;

const CODEC = {
  encodeAttempt: () => [],
  gatewayOnlyAnswerHeaders: new Set<string>(),
  decodeAnswer: () => PLAIN_ANSWER,
};

async function startServer(serve: (socket: Socket) => void) {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => serve(socket));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    [Symbol.dispose]: () => void server.close(),
  };
}

interface SendRequestOptions {
  readonly address: string;
  readonly mayReuseConnection: boolean;
  readonly uploadBytes: number;
}

/** Sends a request and reads its answer to the end, if there is one. */
async function sendRequest(
  client: EndpointClient<SendOptions>,
  {address, mayReuseConnection, uploadBytes}: SendRequestOptions,
): Promise<{outcome: AttemptOutcome; ending: 'whole' | 'broken' | 'none'}> {
  const call = createCall('a', {body: Buffer.alloc(uploadBytes)});
  const outcome = await client.send(call, {
    endpoint: {address},
    mayReuseConnection,
    mayBegin: () => true,
    signal: new AbortController().signal,
  });
  if (outcome.type !== 'answer') return {outcome, ending: 'none'};
  try {
    for await (const _chunk of outcome.answer.body);
    return {outcome, ending: 'whole'};
  } catch {
    return {outcome, ending: 'broken'};
  }
}

for (const mayReuseConnection of [false, true]) {
  for (const status of ['000', '001', '099', '600', '999']) {
    test(`send() takes no status ${status} for an answer (reuse: ${mayReuseConnection})`, async () => {
      using server = await startServer(socket =>
        socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nno`),
      );
      await using client = new EndpointClient<SendOptions>({codec: CODEC});
      const {address} = server;
      const options = {address, mayReuseConnection, uploadBytes: 1};
      const {outcome} = await sendRequest(client, options);
      assert.equal(outcome.type, 'invalid', JSON.stringify(outcome.type));
    });
  }

  for (const uploadBytes of [1, LONG_UPLOAD_BYTES]) {
    for (const delayMs of [0, 30]) {
      test(`send() takes no part for a whole answer after a reset (${uploadBytes} bytes, ${delayMs} ms, reuse: ${mayReuseConnection})`, async () => {
        using server = await startServer(socket => {
          socket.pause();
          socket.write('HTTP/1.1 200 OK\r\n\r\npart', () =>
            setTimeout(() => socket.resetAndDestroy(), delayMs),
          );
        });
        await using client = new EndpointClient<SendOptions>({codec: CODEC});
        const {address} = server;
        const {ending} = await sendRequest(client, {
          address,
          mayReuseConnection,
          uploadBytes,
        });
        assert.notEqual(ending, 'whole');
      });
    }
  }

  test(`send() takes no part for a whole answer that ends before the upload (reuse: ${mayReuseConnection})`, async () => {
    using server = await startServer(socket => {
      socket.pause();
      socket.end('HTTP/1.1 200 OK\r\n\r\npart');
    });
    await using client = new EndpointClient<SendOptions>({codec: CODEC});
    const {ending} = await sendRequest(client, {
      address: server.address,
      mayReuseConnection,
      uploadBytes: LONG_UPLOAD_BYTES,
    });
    assert.notEqual(ending, 'whole');
  });
}

test.run();
