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
import {PLAIN_ANSWER} from '../../coordination/forwarding/fake_answers.ts';
import {
  createEndpoint,
  createRoute,
  FakeGateway,
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

const STREAM_HEAD =
  'HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Type: text/event-stream\r\n';
const FIRST_EVENT = 'id: 1\ndata: a\n\n';

/** What the next endpoint answers after a stream broke off. */
const NEXT_ANSWERS: Readonly<Record<string, (id: string) => string>> = {
  'an error': id =>
    `HTTP/1.1 500 Error\r\nid: ${id}\r\nsigned: 1\r\nContent-Length: 5\r\n\r\noops!`,
  'an error without a length': id =>
    `HTTP/1.1 500 Error\r\nid: ${id}\r\nsigned: 1\r\n\r\noops!`,
  'a head cut short': id => `HTTP/1.1 200 OK\r\nid: ${id}\r\nsigned`,
  'another content type': id =>
    `HTTP/1.1 200 OK\r\nid: ${id}\r\nsigned: 1\r\nContent-Type: text/html\r\nContent-Length: 5\r\n\r\noops!`,
  'no event, chunked': id =>
    `${STREAM_HEAD}id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'no event, no length': id => `${STREAM_HEAD}id: ${id}\r\n\r\n`,
  'no event, a length': id =>
    `${STREAM_HEAD}id: ${id}\r\nContent-Length: 0\r\n\r\n`,
  'comments alone': id => `${STREAM_HEAD}id: ${id}\r\n\r\n: ping\n\n`,
};

for (const [name, encode] of Object.entries(NEXT_ANSWERS)) {
  test(`a stream that broke off does not go on with ${name}`, async () => {
    let isFirst = true;
    using server = await startServer((id, socket) => {
      if (!isFirst) return void socket.end(encode(id));
      isFirst = false;
      socket.write(
        `${STREAM_HEAD}id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n` +
          `${FIRST_EVENT.length.toString(16)}\r\n${FIRST_EVENT}\r\n`,
      );
      setTimeout(() => socket.destroy(), 5);
    });
    await using gateway = new SocketGateway(
      {repeatability: 'stream', resumable: true, maxAttempts: 2},
      [server.address, server.address],
    );
    const sink = await gateway.ask('x');
    assert.equal(sink.text.replace(': ping\n\n', ''), FIRST_EVENT);
    assert.equal(sink.outcome, 'cut');
  });
}

/** How an endpoint frames its answer. */
const FRAMINGS = ['length', 'chunks', 'none'] as const;

const EVENTS = [FIRST_EVENT, 'id: 2\ndata: b\n\n'];

function encodeWhole(framing: (typeof FRAMINGS)[number], isStream: boolean) {
  const body = EVENTS.join('');
  const head = `HTTP/1.1 200 OK\r\nid: x\r\nsigned: 1\r\n${isStream ? 'Content-Type: text/event-stream\r\n' : ''}`;
  if (framing === 'none') return `${head}\r\n${body}`;
  if (framing === 'length') {
    return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  }
  const chunks = EVENTS.map(
    each => `${each.length.toString(16)}\r\n${each}\r\n`,
  );
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks.join('')}0\r\n\r\n`;
}

/** Whether the bytes up to a cut are all of an answer for their protocol. */
function isWhole(
  bytes: string,
  cut: number,
  {framing, isStream}: {framing: string; isStream: boolean},
): boolean {
  if (cut === bytes.length) return true;
  if (framing !== 'none') return false;
  // An answer without a length ends where its connection does.
  const headBytes = bytes.indexOf('\r\n\r\n') + 4;
  if (cut < headBytes) return false;
  return !isStream || cut === headBytes + FIRST_EVENT.length;
}

for (const isStream of [false, true]) {
  for (const framing of FRAMINGS) {
    test(`an answer cut at any byte is not taken for a whole one (${isStream ? 'stream' : 'call'}, framing: ${framing})`, async () => {
      const bytes = encodeWhole(framing, isStream);
      let cut = 0;
      using server = await startServer((_id, socket) => {
        socket.end(bytes.slice(0, cut));
      });
      for (cut = 1; cut <= bytes.length; cut++) {
        await using gateway = new SocketGateway(
          {
            repeatability: isStream ? 'stream' : 'not-repeatable',
            maxAttempts: 1,
          },
          [server.address],
        );
        const sink = await gateway.ask('x');
        const isComplete = sink.status === 200 && sink.outcome === 'whole';
        const isAllowed = isWhole(bytes, cut, {framing, isStream});
        assert.ok(
          !isComplete || isAllowed,
          `cut at ${cut} of ${bytes.length}: ${JSON.stringify(sink.text)}`,
        );
        if (cut === bytes.length) assert.equal(sink.text, EVENTS.join(''));
      }
    });
  }
}

test.run();
