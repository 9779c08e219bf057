/**
 * Guards against answers that are not whole, or are none, and that a caller gets as
 * complete ones: an endpoint in trouble answers while an upload is being written.
 */
import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import {test} from 'uvu';
import type {AttemptOutcome, Call} from '../../coordination/forwarding/call.ts';
import {createCall} from '../../coordination/forwarding/call_fakes.ts';
import {PLAIN_ANSWER} from '../../coordination/forwarding/fake_answers.ts';
import {EndpointClient} from './endpoint_client.ts';
import {GatewayClient} from './gateway_client.ts';

/** More than the buffers of a loopback connection hold. */
const LONG_UPLOAD = Buffer.alloc(16 * 1024 * 1024, 'x');

const SHORT_UPLOAD = Buffer.from('hello');

const SECRET = 'secret';

type Send = (options: {
  readonly address: string;
  readonly body: Buffer;
  readonly mayReuseConnection: boolean;
}) => Promise<AttemptOutcome>;

interface Sender extends AsyncDisposable {
  readonly name: string;
  readonly send: Send;
}

/** The client for endpoints, and the one for gateways that relay. */
function createSenders(): Sender[] {
  const endpoints = new EndpointClient({
    codec: {
      encodeAttempt: call => [...call.headers],
      gatewayOnlyAnswerHeaders: new Set(),
      decodeAnswer: (_status, find) => ({
        ...PLAIN_ANSWER,
        attemptId: find('id'),
      }),
    },
  });
  const gateways = new GatewayClient({
    secret: SECRET,
    codec: {encodeRelayed: call => [...call.headers]},
  });
  const create = (body: Buffer): Call => createCall('x', {body});
  return [
    {
      name: 'endpoint',
      send: ({address, body, mayReuseConnection}) =>
        endpoints.send(create(body), {
          endpoint: {address},
          mayReuseConnection,
          mayBegin: () => true,
          signal: new AbortController().signal,
        } as Parameters<typeof endpoints.send>[1]),
      [Symbol.asyncDispose]: () => endpoints[Symbol.asyncDispose](),
    },
    {
      name: 'gateway',
      send: ({address, body, mayReuseConnection}) =>
        gateways.send(create(body), {
          address,
          budgetMs: 1_000,
          runs: 0,
          mayReuseConnection,
          mayBegin: () => true,
          signal: new AbortController().signal,
        }),
      [Symbol.asyncDispose]: () => gateways[Symbol.asyncDispose](),
    },
  ];
}

/** Calls `serve` with the number of each connection, from 1, at its first bytes. */
async function startServer(
  serve: (socket: Socket, connection: number) => void,
): Promise<{readonly address: string} & AsyncDisposable> {
  let connections = 0;
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    const connection = ++connections;
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => serve(socket, connection));
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const address = server.address();
  assert.ok(address !== null && typeof address === 'object');
  return {
    address: `127.0.0.1:${address.port}`,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>(resolve => server.close(() => resolve()));
    },
  };
}

async function describeOutcome(outcome: AttemptOutcome): Promise<string> {
  if (outcome.type !== 'answer') return outcome.type;
  const {status, body} = outcome.answer;
  let text = '';
  try {
    for await (const piece of body) text += Buffer.from(piece).toString();
    return `${status} ${text} whole`;
  } catch {
    return `${status} ${text} broken`;
  }
}

/** Sends one request by each client, new and kept connections alike. */
async function playAll(
  serve: (socket: Socket, connection: number) => void,
  body: Buffer,
): Promise<Map<string, string>> {
  const outcomes = new Map<string, string>();
  for (const mayReuseConnection of [true, false]) {
    for (const sender of createSenders()) {
      await using server = await startServer(serve);
      await using client = sender;
      const {address} = server;
      const outcome = await client.send({address, body, mayReuseConnection});
      const name = `${client.name} ${mayReuseConnection ? 'kept' : 'new'}`;
      outcomes.set(name, await describeOutcome(outcome));
    }
  }
  return outcomes;
}

function assertNoneIsWhole(outcomes: ReadonlyMap<string, string>): void {
  assert.equal(outcomes.size, 4);
  for (const [name, outcome] of outcomes) {
    assert.doesNotMatch(outcome, /whole$/, name);
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\nid: x\r\n\r\n';

for (const [size, body] of [
  ['long', LONG_UPLOAD],
  ['short', SHORT_UPLOAD],
] as const) {
  test(`a 200 without a length is not whole if it is reset during a ${size} upload`, async () => {
    for (const delayMs of [0, 30]) {
      const outcomes = await playAll(socket => {
        socket.write(`${HEAD}part of it`, () =>
          setTimeout(() => socket.resetAndDestroy(), delayMs),
        );
      }, body);
      assertNoneIsWhole(outcomes);
    }
  });

  test(`an event stream without a length is not whole if it is reset during a ${size} upload`, async () => {
    const head = HEAD.replace(
      'id: x',
      'id: x\r\ncontent-type: text/event-stream',
    );
    const outcomes = await playAll(socket => {
      socket.write(`${head}id: 1\ndata: a\n\n`, () => socket.resetAndDestroy());
    }, body);
    assertNoneIsWhole(outcomes);
  });
}

// The endpoint has not read the request, so that its answer cannot be about it.
test('a 200 without a length is not whole if it ends during a long upload', async () => {
  const outcomes = await playAll(socket => {
    socket.pause();
    socket.end(`${HEAD}part of it`);
    // The kernel resets a connection that is closed with bytes unread.
    setTimeout(() => socket.destroy(), 50);
  }, LONG_UPLOAD);
  assertNoneIsWhole(outcomes);
});

test('a status that HTTP does not have is no answer', async () => {
  for (const status of ['000', '001', '042', '099', '600', '999']) {
    const outcomes = await playAll(socket => {
      socket.end(
        `HTTP/1.1 ${status} Odd\r\nid: x\r\ncontent-length: 2\r\n\r\nok`,
      );
    }, SHORT_UPLOAD);
    assertNoneIsWhole(outcomes);
  }
});

test('interim answers without end are no answer', async () => {
  const outcomes = await playAll(socket => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'.repeat(50);
    socket.end(`${interim}${HEAD}ok`);
  }, SHORT_UPLOAD);
  assertNoneIsWhole(outcomes);
});

// Guards against the rest of an upload that an endpoint reads as the next request.
test('a connection whose upload is not finished takes no further request', async () => {
  for (const sender of createSenders()) {
    const received: string[] = [];
    await using server = await startServer((socket, connection) => {
      if (connection === 1) {
        socket.pause();
        socket.write(
          'HTTP/1.1 200 OK\r\nid: x\r\ncontent-length: 5\r\n\r\nearly',
        );
        return;
      }
      received.push(`connection ${connection}`);
      socket.end('HTTP/1.1 200 OK\r\nid: x\r\ncontent-length: 4\r\n\r\nnext');
    });
    await using client = sender;
    const {address} = server;
    const options = {address, mayReuseConnection: true};
    const first = await client.send({...options, body: LONG_UPLOAD});
    await describeOutcome(first);
    const next = await client.send({...options, body: SHORT_UPLOAD});
    assert.equal(await describeOutcome(next), '200 next whole', client.name);
    assert.deepEqual(received, ['connection 2']);
  }
});

test.run();
