import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setImmediate, setTimeout} from 'node:timers/promises';

import OpenAI from 'openai';
import {request} from 'undici';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {systemClock} from '../../protocol/clock.ts';
import {silentLogger, type Logger} from '../../protocol/logger.ts';
import {succeed} from '../../protocol/outcome.ts';
import {
  createChunks,
  createEnd,
  FakeGateway,
  type Script,
} from '../../coordination/requests/request_fakes.ts';
import {findFreePort} from '../test_ports.ts';
import {startPublicServer} from './public_server.ts';

const KEY = 'key';

interface StartGatewayOptions {
  readonly script?: Script;
  readonly logger?: Logger;
  readonly describeStatus?: () => Promise<unknown>;
}

async function startGateway({
  script = {},
  logger = silentLogger,
  describeStatus = async () => ({}),
}: StartGatewayOptions = {}) {
  const gateway = new FakeGateway({e1: script, s1: script});
  const {view} = gateway;
  const customer = view?.declaration?.customers[0];
  if (!view?.declaration || !customer)
    throw new Error('the fake gateway has no declaration or customer');
  const keyHash = createHash('sha256').update(KEY).digest('hex');
  const customers = [{...customer, key_sha256: keyHash}];
  gateway.view = {...view, declaration: {...view.declaration, customers}};
  const port = await findFreePort();
  const state = {open: true};
  const server = await startPublicServer({
    host: '127.0.0.1',
    port,
    clock: systemClock,
    logger,
    operatorSecret: 'operator',
    endpointSecret: 'endpoint',
    context: gateway.context,
    operators: {
      execute: async () => ({status: 200, body: {}}),
      describeStatus,
      exportBills: async () => null,
    } as never,
    listHosts: () => [],
    announce: () => succeed(undefined),
    isOpen: () => state.open,
  });
  return {gateway, server, state, url: `http://127.0.0.1:${port}`, port};
}

const answered: Script = {
  complete: () => [...createChunks(0, 3), createEnd(3)],
};

const body = JSON.stringify({
  model: 'draft',
  messages: [{role: 'user', content: 'x'}],
});

function post(url: string, text: string, key = KEY) {
  return request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${key}`},
    body: text,
  });
}

async function readError(response: Awaited<ReturnType<typeof post>>) {
  const {error} = (await response.body.json()) as {
    error: {outcome: string; code: string; request_id: string};
  };
  assert.is(error.request_id, response.headers['x-request-id']);
  assert.is(error.outcome, response.headers['x-outcome']);
  return {status: response.statusCode, code: error.code};
}

/** Sends raw bytes and returns the status line of the response. */
async function sendRaw(port: number, text: string): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  let reply = '';
  socket.on('data', part => (reply += String(part)));
  socket.on('error', () => {});
  socket.write(text);
  await once(socket, 'close');
  return reply.split('\r\n', 1)[0] ?? '';
}

test("OpenAI's client works unchanged, with and without streaming", async () => {
  const {server, url} = await startGateway({script: answered});
  await using _ = server;
  const client = new OpenAI({apiKey: KEY, baseURL: `${url}/v1`});
  const messages = [{role: 'user' as const, content: 'x'}];
  const stream = await client.chat.completions.create({
    model: 'draft',
    messages,
    stream: true,
    stream_options: {include_usage: true},
  });
  let text = '';
  let tokens = 0;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    tokens = chunk.usage?.completion_tokens ?? tokens;
  }
  assert.is(text, '0 1 2 ');
  assert.is(tokens, 3);
  const whole = await client.chat.completions.create({
    model: 'draft',
    messages,
  });
  assert.is(whole.choices[0]?.message.content, '0 1 2 ');
  assert.is(whole.usage?.total_tokens, 13);
  const models = await client.models.list();
  assert.ok(models.data.some(model => model.id === 'draft/small'));
  const refused = await client.chat.completions
    .create({model: 'unknown', messages})
    .catch((error: unknown) => error);
  assert.instance(refused, OpenAI.NotFoundError);
});

test('invalid requests get the status and code of their error', async () => {
  const {server, url, port} = await startGateway({script: answered});
  await using _ = server;
  const deep = `{"model":"draft","messages":${'['.repeat(100)}`;
  const cases: Array<[string, string, number, string]> = [
    ['{', KEY, 400, 'bad-request'],
    ['{}', KEY, 400, 'bad-request'],
    [deep, KEY, 400, 'bad-request'],
    ['x'.repeat(3 * 1024 * 1024), KEY, 413, 'bad-request'],
    [body, 'other', 401, 'unauthorized'],
  ];
  for (const [text, key, status, code] of cases) {
    const error = await readError(await post(url, text, key));
    assert.equal(error, {status, code});
  }
  const unknown = await request(`${url}/v2`);
  assert.equal(await readError(unknown), {status: 404, code: 'not-found'});
  const method = await request(`${url}/v1/models`, {method: 'DELETE'});
  assert.is(method.headers.allow, 'GET, HEAD');
  assert.is((await readError(method)).status, 405);
  assert.match(await sendRaw(port, 'nonsense\r\n\r\n'), ' 400 ');
  const large = `GET / HTTP/1.1\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`;
  assert.match(await sendRaw(port, large), ' 431 ');
  assert.is(await sendRaw(port, 'CONNECT a:1 HTTP/1.1\r\n\r\n'), '');
  const head = await request(`${url}/healthz`, {method: 'HEAD'});
  assert.is(head.statusCode, 200);
});

test('a shutdown refuses new requests and waits for open ones', async () => {
  let finish: () => void = () => {};
  const finished = new Promise<void>(resolve => (finish = resolve));
  const {server, url, state, gateway} = await startGateway();
  await using _ = server;
  const {dispatcher} = gateway.context;
  const calls = new Promise<void>(resolve => {
    dispatcher.callService = async () => {
      resolve();
      await finished;
      return succeed({
        status: 200,
        contentType: 'text/plain',
        body: Buffer.from('booked'),
      });
    };
  });
  // The caller disconnects during a call that may not be repeated.
  const disconnected = new AbortController();
  const call = request(`${url}/v1/services/booking/bookings`, {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`, 'idempotency-key': 'k'},
    body: '{}',
    signal: disconnected.signal,
  }).catch(() => null);
  await calls;
  disconnected.abort();
  await call;
  state.open = false;
  const refused = await post(url, body);
  assert.is(refused.headers.connection, 'close');
  assert.is((await readError(refused)).code, 'shutting-down');
  let idle = false;
  const waiting = server.waitUntilIdle().then(() => (idle = true));
  await request(`${url}/healthz`).then(response => response.body.dump());
  assert.is(idle, false);
  finish();
  await waiting;
  assert.is(gateway.bills.length, 1);
});

// Guards against requests that were read and get no answer because the server is
// disposed of while callers still send requests.
test('disposal answers each request that was read', async () => {
  for (let turns = 0; turns < 10; turns++) {
    let read = 0;
    const {server, port} = await startGateway({
      describeStatus: async () => {
        read++;
        await setTimeout(20);
        return {};
      },
    });
    const replies: Promise<string>[] = [];
    for (let sent = 0; sent < 30; sent++) {
      replies.push(
        sendRaw(
          port,
          'GET /operator/status HTTP/1.1\r\nHost: a\r\n' +
            'Authorization: Bearer operator\r\nConnection: close\r\n\r\n',
        ).catch(() => ''),
      );
      if (sent % 3 === turns % 3) await setImmediate();
    }
    while (read === 0) await setImmediate();
    for (let turn = 0; turn < turns; turn++) await setImmediate();
    await server[Symbol.asyncDispose]();
    const lines = await Promise.all(replies);
    const answered = lines.filter(line => line.includes('200')).length;
    assert.is(answered, read, `after ${turns} turns`);
  }
});

// Guards against answers that are cut in a planned stop because their caller reads
// slowly: the server had written them, and took their connections for idle.
test('a shutdown does not cut an answer that is being sent', async () => {
  const status = {text: 'x'.repeat(16 * 1024 * 1024)};
  const {server, state, port} = await startGateway({
    describeStatus: async () => status,
  });
  const socket = connect(port, '127.0.0.1');
  let received = 0;
  socket.on('data', bytes => (received += bytes.length));
  socket.on('error', () => {});
  const closed = once(socket, 'close');
  socket.write(
    'GET /operator/status HTTP/1.1\r\nHost: a\r\n' +
      'Authorization: Bearer operator\r\n\r\n',
  );
  while (received === 0) await setImmediate();
  socket.pause();
  state.open = false;
  server.closeIdleConnections();
  const idle = server.waitUntilIdle();
  await setImmediate();
  socket.resume();
  await idle;
  await server[Symbol.asyncDispose]();
  await closed;
  assert.ok(received > status.text.length, `${received} bytes`);
});

test('an idle stream gets keep-alive comment lines', async () => {
  const {server, url} = await startGateway({
    script: {complete: () => ['wait']},
  });
  await using _ = server;
  const streamed = JSON.stringify({...JSON.parse(body), stream: true});
  const response = await post(url, streamed);
  for await (const part of response.body) {
    assert.match(String(part), ': waiting');
    break;
  }
});

test('only operators can request the record of a request', async () => {
  const {server, url} = await startGateway({script: answered});
  await using _ = server;
  const response = await post(url, body);
  await response.body.dump();
  const id = String(response.headers['x-request-id']);
  const explain = (secret: string) =>
    request(`${url}/operator/requests/${id}`, {
      headers: {authorization: `Bearer ${secret}`},
    });
  const explained = await explain('operator');
  const record = (await explained.body.json()) as {outcome: string};
  assert.is(record.outcome, 'answered');
  const unauthorized = await explain(KEY);
  await unauthorized.body.dump();
  assert.is(unauthorized.statusCode, 401);
});

// Guards against an odd announcement that nobody learns of.
test('a refused announcement is logged once', async () => {
  const lines: unknown[] = [];
  const logger = {
    ...silentLogger,
    warn: (message: string) => void lines.push(message),
  };
  const {server, url} = await startGateway({logger});
  await using _ = server;
  const deep = '['.repeat(100_000) + ']'.repeat(100_000);
  for (const text of ['{}', '{}', deep, deep]) {
    const response = await request(`${url}/endpoints/announce`, {
      method: 'POST',
      headers: {authorization: 'Bearer endpoint'},
      body: text,
    });
    await response.body.dump();
    assert.is(response.statusCode, 400);
  }
  assert.equal(lines, ['Refuses an announcement.', 'Refuses an announcement.']);
});

test.run();
