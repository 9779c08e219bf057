import {once} from 'node:events';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {AnswerEvent} from '../../protocol/completion.ts';
import type {Outcome} from '../../protocol/outcome.ts';
import type {
  AttemptError,
  CompletionAttempt,
  ServiceAttempt,
} from '../../coordination/requests/dispatch.ts';
import {createEngineClient} from './engine_client.ts';

const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/** Listens on loopback and calls `serve` for each connection. */
async function listen(
  serve: (socket: Socket, count: number) => void,
): Promise<{address: string; sockets: Socket[]; close: () => void}> {
  const sockets: Socket[] = [];
  const server: Server = createServer(socket => {
    socket.on('error', () => {});
    sockets.push(socket);
    serve(socket, sockets.length);
  });
  // A failed test must not keep the process alive.
  server.unref();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const close = () => {
    server.close();
    sockets.forEach(socket => socket.destroy());
  };
  return {address: `127.0.0.1:${port}`, sockets, close};
}

function formatChunk(data: object | string): string {
  const text = typeof data === 'string' ? data : JSON.stringify(data);
  const event = `data: ${text}\n\n`;
  return `${Buffer.byteLength(event).toString(16)}\r\n${event}\r\n`;
}

const delta = (offset: number, content: string, attempt_id?: string) =>
  formatChunk({offset, attempt_id, choices: [{delta: {content}}]});

const end = formatChunk({
  choices: [{delta: {}, finish_reason: 'stop'}],
  usage: {prompt_tokens: 1, completion_tokens: 2},
});

function createAttempt(address: string): CompletionAttempt {
  return {
    address,
    attemptId: 'att_1',
    requestId: 'req_1',
    customer: 'desk',
    version: 'draft/small',
    request: {
      model: 'draft',
      messages: [{role: 'user', content: 'x'}],
      stream: true,
    },
    resumeOffset: 0,
    resumeText: '',
    deadlineMs: 5_000,
    priority: 0,
    repeatable: true,
  };
}

function createCall(address: string): ServiceAttempt {
  return {
    address,
    attemptId: 'att_1',
    requestId: 'req_1',
    customer: 'desk',
    key: 'key',
    method: 'POST',
    path: '/bookings',
    body: Buffer.from('{}'),
    deadlineMs: 5_000,
    silenceMs: 5_000,
    repeatable: false,
  };
}

async function collect(
  events: AsyncIterable<Outcome<AnswerEvent, AttemptError>>,
) {
  const all: Array<Outcome<AnswerEvent, AttemptError>> = [];
  for await (const event of events) all.push(event);
  const text = all
    .map(each =>
      each.ok && each.value.type === 'delta' ? each.value.text : '',
    )
    .join('');
  return {text, last: all.at(-1)};
}

const neverAborted = new AbortController().signal;

test('openCompletion() puts chunks in order and drops repeated ones', async () => {
  const engine = await listen(socket => {
    socket.once('data', () =>
      socket.write(
        HEAD +
          delta(1, 'b') +
          delta(0, 'a') +
          delta(0, 'a') +
          delta(3, 'd') +
          delta(2, 'c') +
          end +
          formatChunk('[DONE]') +
          '0\r\n\r\n',
      ),
    );
  });
  await using client = createEngineClient();
  const answer = await collect(
    client.openCompletion(createAttempt(engine.address), neverAborted),
  );
  assert.is(answer.text, 'abcd');
  assert.ok(answer.last?.ok && answer.last.value.type === 'end');
  engine.close();
});

test('openCompletion() fails if a chunk is missing at the end', async () => {
  const engine = await listen(socket => {
    socket.once('data', () =>
      socket.write(HEAD + delta(0, 'a') + delta(2, 'c') + end + '0\r\n\r\n'),
    );
  });
  await using client = createEngineClient();
  const answer = await collect(
    client.openCompletion(createAttempt(engine.address), neverAborted),
  );
  assert.is(answer.text, 'a');
  assert.is(answer.last?.ok, false);
  engine.close();
});

test("openCompletion() rejects another attempt's chunks", async () => {
  const engine = await listen(socket => {
    socket.once('data', () =>
      socket.write(HEAD + delta(0, 'a', 'att_1') + delta(1, 'z', 'att_0')),
    );
  });
  await using client = createEngineClient();
  const answer = await collect(
    client.openCompletion(createAttempt(engine.address), neverAborted),
  );
  assert.is(answer.text, 'a');
  assert.is(answer.last?.ok, false);
  engine.close();
});

test('openCompletion() reuses a connection after a complete answer', async () => {
  const engine = await listen(socket => {
    socket.on('data', () =>
      socket.write(HEAD + delta(0, 'a') + end + '0\r\n\r\n'),
    );
  });
  await using client = createEngineClient();
  for (let count = 0; count < 10; count++) {
    await collect(
      client.openCompletion(createAttempt(engine.address), neverAborted),
    );
  }
  // The pool may open a second connection while it checks the first.
  assert.ok(engine.sockets.length <= 2);
  engine.close();
});

test('openCompletion() replaces a pool with an unresponsive connection', async () => {
  let silenced = 0;
  const engine = await listen((socket, count) => {
    socket.on('data', () => {
      if (count <= silenced) return;
      socket.write(HEAD + delta(0, 'a') + end + '0\r\n\r\n');
    });
  });
  await using client = createEngineClient();
  const run = () =>
    collect(client.openCompletion(createAttempt(engine.address), neverAborted));
  assert.is((await run()).last?.ok, true);
  assert.is((await run()).last?.ok, true);
  // From here, open connections are unresponsive and new ones work.
  silenced = engine.sockets.length;
  const silent = await run();
  assert.ok(silent.last && !silent.last.ok && silent.last.error.silent);
  for (let count = 0; count < 3; count++) {
    assert.is((await run()).last?.ok, true);
  }
  engine.close();
});

test('openCompletion() reports not-sent only if no byte was written', async () => {
  const closed = await listen(() => {});
  closed.close();
  const resetting = await listen(socket => {
    socket.once('data', () => socket.resetAndDestroy());
  });
  await using client = createEngineClient();
  const kind = async (address: string) => {
    const {last} = await collect(
      client.openCompletion(createAttempt(address), neverAborted),
    );
    return last && !last.ok ? last.error.kind : 'answered';
  };
  assert.is(await kind(closed.address), 'not-sent');
  assert.is(await kind(resetting.address), 'lost');
  resetting.close();
});

test('openCompletion() closes the connection when cancelled', async () => {
  const engine = await listen(socket => {
    socket.once('data', () => socket.write(HEAD + delta(0, 'a')));
  });
  await using client = createEngineClient();
  const cancelled = new AbortController();
  const events = client.openCompletion(
    createAttempt(engine.address),
    cancelled.signal,
  );
  const seen: boolean[] = [];
  for await (const event of events) {
    seen.push(event.ok);
    cancelled.abort();
  }
  assert.equal(seen, [true, false]);
  const [socket] = engine.sockets;
  if (socket && !socket.closed) await once(socket, 'close');
  assert.is(socket?.closed, true);
  engine.close();
});

test('callService() uses a new connection for each call and sends once', async () => {
  let calls = 0;
  const service = await listen((socket, count) => {
    socket.on('data', () => {
      calls++;
      if (count === 3) socket.resetAndDestroy();
      else socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
    });
  });
  await using client = createEngineClient();
  const call = () =>
    client.callService(createCall(service.address), neverAborted);
  const first = await call();
  assert.is(first.ok && first.value.body.toString(), 'ok');
  assert.is((await call()).ok, true);
  const lost = await call();
  assert.is(!lost.ok && lost.error.kind, 'lost');
  assert.is(calls, 3);
  assert.is(service.sockets.length, 3);
  service.close();
});

test('callService() returns binary content unchanged', async () => {
  const service = await listen(socket => {
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n');
      socket.write(Buffer.from([0xff, 0x00]));
    });
  });
  await using client = createEngineClient();
  const answer = await client.callService(
    createCall(service.address),
    neverAborted,
  );
  assert.equal(answer.ok && [...answer.value.body], [0xff, 0x00]);
  service.close();
});

test('callService() reports a not-run answer as refused', async () => {
  const service = await listen(socket => {
    socket.once('data', () =>
      socket.write(
        'HTTP/1.1 503 No\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n',
      ),
    );
  });
  await using client = createEngineClient();
  const answer = await client.callService(
    createCall(service.address),
    neverAborted,
  );
  assert.is(!answer.ok && answer.error.kind, 'refused');
  service.close();
});

test.run();
