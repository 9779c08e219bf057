/**
 * Guards against requests that pass for relayed ones without the daemons' secret,
 * and against what a relay changes of a request or its answer.
 */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'uvu';
import {request} from 'undici';
import type {AttemptOutcome, Call} from '../../coordination/forwarding/call.ts';
import {NO_FACTS} from '../../coordination/forwarding/call_fakes.ts';
import {refuseCall} from '../../coordination/forwarding/refuse.ts';
import {systemClock} from '../../protocol/clock.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {findFreePort} from '../test_ports.ts';
import {startFrontServer, type FrontServerOptions} from './front_server.ts';
import {GatewayClient} from './gateway_client.ts';
import {testAddress} from './probe_address.ts';

const SECRET = 'secret';

const CALL: Call = {
  method: 'POST',
  path: '/x?y=1',
  host: 'desk.example',
  headers: [
    ['Host', 'desk.example'],
    ['Authorization', 'Bearer key-1'],
    ['X-Odd', 'value'],
  ],
  body: Buffer.from('body'),
  digestBody: () => '',
  facts: {...NO_FACTS, attemptId: 'c1', key: 'key-1'},
  receivedAt: 0,
  signal: new AbortController().signal,
};

async function startGateway(
  forward: FrontServerOptions['forward'],
  secret = SECRET,
) {
  const port = await findFreePort();
  const server = await startFrontServer({
    host: '127.0.0.1',
    port,
    clock: systemClock,
    logger: silentLogger,
    secret,
    codec: {
      decodeCall: find => ({
        ...NO_FACTS,
        attemptId: find('X-Id'),
        key: find('Authorization')?.slice('Bearer '.length) ?? null,
      }),
      encodeAttempt: () => [],
      gatewayOnlyAnswerHeaders: new Set(),
      decodeAnswer: () => {
        throw new Error('unexpected call of decodeAnswer()');
      },
    },
    forward,
  });
  return {server, address: `127.0.0.1:${port}`};
}

function createClient(secret = SECRET): GatewayClient {
  return new GatewayClient({
    secret,
    codec: {
      encodeRelayed: ({headers, facts}, budgetMs) => [
        ...headers,
        ['X-Id', facts.attemptId ?? ''],
        ['X-Left', String(budgetMs)],
      ],
    },
  });
}

function send(client: GatewayClient, address: string, runs = 0) {
  return client.send(CALL, {
    address,
    budgetMs: 1_234,
    runs,
    mayReuseConnection: false,
    mayBegin: () => true,
    signal: new AbortController().signal,
  });
}

async function readText(outcome: AttemptOutcome): Promise<string> {
  assert.equal(outcome.type, 'answer');
  if (outcome.type !== 'answer') return '';
  const pieces: Uint8Array[] = [];
  for await (const piece of outcome.answer.body) pieces.push(piece);
  return Buffer.concat(pieces).toString();
}

test('a relayed request arrives unchanged, with its runs', async () => {
  const received: Call[] = [];
  const {server, address} = await startGateway(async (call, sink) => {
    received.push(call);
    sink.answer(201, [['Retry-After', '3']], Buffer.from('served'));
  });
  await using _server = server;
  await using client = createClient();
  const outcome = await send(client, address, 2);
  assert.equal(await readText(outcome), 'served');
  const [call] = received;
  assert.equal(call?.path, CALL.path);
  assert.equal(call?.host, CALL.host);
  assert.equal(call?.body.toString(), 'body');
  assert.deepEqual(call?.relayed, {runs: 2});
  const names = call?.headers.map(([name]) => name) ?? [];
  assert.ok(names.includes('X-Odd') && names.includes('X-Left'));
  assert.ok(!names.some(name => name.startsWith('X-Parsleypond')), `${names}`);
  if (outcome.type !== 'answer') return;
  assert.equal(outcome.answer.status, 201);
  assert.ok(outcome.answer.headers.some(([name]) => name === 'Retry-After'));
});

test('without the secret, and for another request, the proof does not hold', async () => {
  let served = 0;
  let proof = '';
  const {server, address} = await startGateway(async (call, sink) => {
    served++;
    assert.equal(call.relayed, undefined);
    sink.answer(200, [], Buffer.from('served'));
  });
  await using _server = server;
  await using other = createClient('another');
  const outcome = await send(other, address);
  assert.equal(outcome.type === 'answer' && outcome.answer.status, 400);
  await readText(outcome);

  const recorder = createServer((call, response) => {
    proof = String(call.headers['x-parsleypond-relayed']);
    response.end();
  });
  await new Promise<void>(resolve =>
    recorder.listen(0, '127.0.0.1', () => resolve()),
  );
  await using client = createClient();
  const {port} = recorder.address() as AddressInfo;
  await readText(await send(client, `127.0.0.1:${port}`));
  recorder.close();
  const post = (headers: Record<string, string>) =>
    request(`http://${address}${CALL.path}`, {method: 'POST', headers}).then(
      async ({statusCode, body}) => {
        await body.dump();
        return statusCode;
      },
    );
  for (const value of ['', '0', `1${proof.slice(1)}`, proof]) {
    // The proof is that of the attempt c1.
    const headers = {
      host: CALL.host,
      authorization: 'Bearer key-1',
      'x-id': 'c2',
      'x-parsleypond-relayed': value,
    };
    assert.equal(await post(headers), 400, value);
  }
  assert.equal(served, 0);
  assert.equal(await post({'x-id': 'c2'}), 200);
});

test('a gateway without a path is told from one that refuses', async () => {
  const reasons = ['no-path', 'stopping', 'no-room', 'broken'] as const;
  let index = 0;
  const {server, address} = await startGateway(async (_call, sink) => {
    refuseCall(sink, {reason: reasons[index++] ?? 'broken'});
  });
  await using _server = server;
  await using client = createClient();
  const types: string[] = [];
  for (const _reason of reasons) {
    types.push((await send(client, address)).type);
  }
  assert.deepEqual(types, ['not-run', 'not-run', 'answer', 'answer']);
});

test('testAddress() tells whether connections are accepted', async () => {
  const port = await findFreePort();
  const address = `127.0.0.1:${port}`;
  assert.equal(await testAddress(address, 500), false);
  let resets = false;
  const server = createServer().on('connection', socket => {
    if (resets) socket.resetAndDestroy();
  });
  await new Promise<void>(resolve =>
    server.listen(port, '127.0.0.1', () => resolve()),
  );
  assert.equal(await testAddress(address, 500), true);
  resets = true;
  assert.equal(await testAddress(address, 500), false);
  server.close();
});

test.run();
