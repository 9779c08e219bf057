import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createRatingClient} from './rating_client.ts';
import {createWeightClient} from './weight_client.ts';

async function listen(handler: RequestListener) {
  const server = createServer(handler).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const stop = () => {
    server.closeAllConnections();
    server.close();
  };
  return {address: `127.0.0.1:${port}`, stop, [Symbol.dispose]: stop};
}

const rated = {
  requestId: 'req_1',
  customer: 'desk',
  requestClass: 'default',
  version: 'draft/small',
  prompt: [],
  answer: 'yes',
  deadlineMs: 30_000,
};

test('the rating client returns scores and fails on any other reply', async () => {
  const replies = [
    '{"score":0.5,"more":1}',
    '{"score":null}',
    '{"score":7}',
    '{',
    '',
  ];
  const asked: string[] = [];
  using service = await listen((request, response) => {
    asked.push(request.url ?? '');
    const reply = replies.shift();
    // The last request is not answered.
    if (reply !== '') response.end(reply);
  });
  const rate = createRatingClient(service.address);
  assert.equal(await rate(rated), {ok: true, value: 0.5});
  for (let count = 0; count < 3; count++) {
    assert.is((await rate(rated)).ok, false);
  }
  assert.is((await rate({...rated, deadlineMs: 50})).ok, false);
  assert.is(asked[0], '/v1/ratings');
  service.stop();
  assert.is((await rate(rated)).ok, false);
  assert.is((await createRatingClient(undefined)(rated)).ok, false);
});

test('the weight client describes a version', async () => {
  using store = await listen((request, response) => {
    const version = (request.url ?? '').slice('/v1/weights/'.length);
    response.end(JSON.stringify({version, bytes: 10, rate: 5, wait_ms: 3}));
  });
  const described = await createWeightClient(store.address)('draft/small');
  assert.equal(described, {
    ok: true,
    value: {version: 'draft/small', bytes: 10, rate: 5, wait_ms: 3},
  });
});

test.run();
