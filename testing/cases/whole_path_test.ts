/** Sends requests end to end through real processes. */
import OpenAI from 'openai';
import {request} from 'undici';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {hashKey, System, waitFor} from '../system/system.ts';

const CUSTOMER_KEY = 'key-of-desk';

const declaration = {
  version: 1,
  pools: [{name: 'drafting'}, {name: 'booking'}],
  versions: [
    {
      model: 'draft',
      name: 'small',
      pool: 'drafting',
      prompt_price: 10,
      completion_price: 20,
      expected_quality: 0.9,
    },
    {
      model: 'draft',
      name: 'large',
      pool: 'drafting',
      prompt_price: 100,
      completion_price: 200,
      expected_quality: 0.95,
    },
  ],
  services: [
    {
      name: 'booking',
      pool: 'booking',
      calls: [{method: 'POST', path: '/bookings', price: 5}],
    },
  ],
  customers: [
    {
      name: 'desk',
      key_sha256: hashKey(CUSTOMER_KEY),
      versions: ['draft/*'],
      services: ['booking'],
      targets: [{quality: 0.8}],
    },
  ],
};

const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};

test('requests are answered completely, logged and billed once', async () => {
  await using system = await System.start({
    hosts: [
      {name: 'a1', ...place, disk: true},
      {name: 'a2', ...place, disk: true},
      {name: 'a3', ...place, disk: false},
    ],
    endpoints: ['e1', 'e2']
      .map(name => ({
        name,
        kind: 'engine' as const,
        ...place,
        pool: 'drafting',
        versions: ['draft/small', 'draft/large'],
        announceTo: ['a1', 'a2'],
      }))
      .concat({
        name: 's1',
        kind: 'service' as never,
        ...place,
        pool: 'booking',
        versions: [],
        announceTo: ['a2', 'a3'],
      }),
  });
  await system.waitForAllHosts();
  const applied = await system.apply('a3', declaration);
  assert.is(applied.code, 0, applied.output + applied.errors);
  assert.is(JSON.parse(applied.output).inForce, true);

  const {addresses} = JSON.parse(
    (await system.runCommand('a1', ['addresses'])).output,
  );
  assert.is(addresses.length, 3);

  const client = new OpenAI({
    apiKey: CUSTOMER_KEY,
    baseURL: `http://${system.getPublicAddress('a3')}/v1`,
    maxRetries: 0,
  });
  await waitFor('endpoints are known', async () => {
    const status = await system.runCommand('a3', ['status']);
    return JSON.parse(status.output).endpoints.length === 3;
  });
  const stream = await client.chat.completions.create({
    model: 'draft',
    messages: [{role: 'user', content: 'The tap water is brown.'}],
    stream: true,
  });
  let streamed = '';
  for await (const chunk of stream) {
    streamed += chunk.choices[0]?.delta.content ?? '';
  }
  assert.is(streamed.trim().split(' ').length, 20);
  const whole = await client.chat.completions.create({
    model: 'draft',
    messages: [{role: 'user', content: 'The tap water is brown.'}],
  });
  assert.is(whole.choices[0]?.message.content, streamed);

  const book = (key: string) =>
    request(
      `http://${system.getPublicAddress('a3')}/v1/services/booking/bookings`,
      {
        method: 'POST',
        headers: {
          authorization: `Bearer ${CUSTOMER_KEY}`,
          'idempotency-key': key,
        },
        body: '{"door":"jammed"}',
      },
    );
  const first = await (await book('booking-1')).body.text();
  const again = await (await book('booking-1')).body.text();
  assert.is(again, first);

  const runs = system.listRuns().filter(run => run.kind === 'completion');
  assert.is(runs.length, 2);
  assert.ok(runs.every(run => run.version === 'draft/small'));
  const calls = system.listRuns().filter(run => run.kind === 'call');
  assert.is(calls.length, 1);

  await waitFor('bills are known', async () => {
    return (await system.readBills('a1')).length >= 3;
  });
  const bills = await system.readBills('a1');
  assert.equal(
    bills.map(bill => bill.target),
    ['draft/small', 'draft/small', 'booking'],
  );
  const lines = system.daemons.get('a3')?.log ?? [];
  assert.ok(lines.some(line => line.includes('Routes a request.')));
});

test.run();
