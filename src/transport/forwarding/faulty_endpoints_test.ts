/**
 * Guards against what operators of similar systems saw of faulty endpoints: an
 * earlier refusal written once more on a kept connection, a stream that broke
 * off and goes on with an error or ends as if it were whole, and answers that
 * are cut within their head.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'uvu';
import {
  createEndpoint,
  createRoute,
  FakeGateway,
  PLAIN_ANSWER,
} from '../../coordination/forwarding/forwarding_fakes.ts';
import type {RecordingSink} from '../../coordination/forwarding/recording_sink_fake.ts';
import type {Route} from '../../protocol/route_table.ts';
import type {CallCodec} from './call_codec.ts';
import {EndpointClient} from './endpoint_client.ts';

const CODEC: CallCodec = {
  decodeCall: () => {
    throw new Error('unexpected call of decodeCall()');
  },
  encodeAttempt: call => [['id', call.facts.attemptId ?? '']],
  gatewayOnlyAnswerHeaders: new Set(),
  decodeAnswer: (_status, find) => ({
    ...PLAIN_ANSWER,
    attemptId: find('id'),
    isSigned: find('signed') !== null,
    isNotRun: find('not-run') !== null,
  }),
};

/** Real time after which a request that hangs fails its test, in ms. */
const TIMEOUT_MS = 5_000;

/** Receives a request's id, the socket, and how many requests came before. */
type Serve = (id: string, socket: Socket, before: number) => void;

async function startServer(serve: Serve) {
  const server = createServer(socket => {
    let text = '';
    let before = 0;
    socket.on('error', () => {});
    socket.on('data', bytes => {
      text += bytes.toString();
      if (!text.includes('\r\n\r\n')) return;
      const id = /^id: *(\S+)/im.exec(text)?.[1] ?? '';
      text = '';
      serve(id, socket, before++);
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    [Symbol.dispose]: () => void server.close(),
  };
}

/** A gateway in front of real sockets. */
class SocketGateway implements AsyncDisposable {
  private readonly client = new EndpointClient({codec: CODEC});
  private readonly fake: FakeGateway;

  constructor(route: Partial<Route>, addresses: readonly string[]) {
    this.fake = new FakeGateway({
      route: createRoute({timeoutMs: 60_000, ...route}),
      endpoints: addresses.map((address, place) =>
        createEndpoint(`e${place}`, {address}),
      ),
      random: () => 0,
      behave: (call, options) => this.client.send(call, options),
    });
  }

  async ask(attemptId: string): Promise<RecordingSink> {
    const {sink, done} = this.fake.start({attemptId});
    let isDone = false;
    void done.then(() => (isDone = true));
    const deadline = Date.now() + TIMEOUT_MS;
    while (!isDone) {
      assert.ok(Date.now() < deadline, `no answer to ${attemptId}`);
      await new Promise(resolve => setTimeout(resolve, 1));
      await this.fake.clock.advance(1);
    }
    return sink;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.client[Symbol.asyncDispose]();
  }
}

function encodeRefusal(id: string): string {
  return `HTTP/1.1 503 Busy\r\nid: ${id}\r\nnot-run: 1\r\nContent-Length: 2\r\n\r\nno`;
}

function encodeAnswer(id: string): string {
  return `HTTP/1.1 200 OK\r\nid: ${id}\r\nsigned: 1\r\nContent-Length: ${id.length}\r\n\r\n${id}`;
}

/** When the earlier refusal is written once more. */
const MOMENTS = ['before', 'same segment', 'between'] as const;

for (const repeatability of ['idempotent', 'not-repeatable'] as const) {
  for (const moment of MOMENTS) {
    test(`a refusal that was sent before is not taken for one of the next request (${repeatability}, ${moment})`, async () => {
      const runs = new Map<string, number>();
      let refusal = '';
      using server = await startServer((id, socket) => {
        if (refusal === '') {
          refusal = encodeRefusal(id);
          socket.write(refusal);
          if (moment === 'between') setTimeout(() => socket.write(refusal), 3);
          return;
        }
        runs.set(id, (runs.get(id) ?? 0) + 1);
        const answer = encodeAnswer(id);
        if (moment === 'before') {
          socket.write(refusal);
          setTimeout(() => socket.destroyed || socket.write(answer), 4);
        } else {
          socket.write(moment === 'same segment' ? refusal + answer : answer);
        }
      });
      await using gateway = new SocketGateway({repeatability, maxAttempts: 2}, [
        server.address,
      ]);
      await gateway.ask('first');
      for (const id of ['second', 'third', 'fourth']) {
        const sink = await gateway.ask(id);
        const count = runs.get(id) ?? 0;
        if (repeatability === 'not-repeatable') assert.ok(count <= 1);
        // A refusal promises that the request did not run.
        if (sink.status === 503) assert.equal(count, 0, `${id} ran`);
        if (sink.status === 200) assert.equal(sink.text, id);
        await new Promise(resolve => setTimeout(resolve, 5));
      }
    });
  }
}

test.run();
