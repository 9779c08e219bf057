import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {succeed} from '../../protocol/outcome.ts';
import {createFailure, FakeGateway, type Script} from './request_fakes.ts';
import {runServiceCall, type ServiceCall} from './run_service_call.ts';

const booked: Script = {
  call: attempt =>
    succeed({
      status: 201,
      contentType: 'application/json',
      body: Buffer.from(attempt.address),
    }),
};

function call(gateway: FakeGateway, options: Partial<ServiceCall> = {}) {
  const {signal} = new AbortController();
  return runServiceCall(
    gateway.createServiceCall(options),
    gateway.context,
    signal,
  );
}

test('runServiceCall() runs a call once and returns its answer to a retry', async () => {
  const gateway = new FakeGateway({s1: booked});
  const first = await call(gateway);
  const again = await call(gateway, {requestId: 'req_2'});
  assert.is(first.ok && first.value.body.toString(), 's1');
  assert.is(again.ok && again.value.body.toString(), 's1');
  assert.is(gateway.calls.length, 1);
  assert.is(gateway.bills.length, 1);
});

test('runServiceCall() stores a binary body', async () => {
  const body = Buffer.from([0xff, 0x00, 0xfe]);
  const gateway = new FakeGateway({
    s1: {call: () => succeed({status: 200, contentType: 'x/y', body})},
  });
  await call(gateway);
  const again = await call(gateway, {requestId: 'req_2'});
  assert.equal(again.ok && again.value.body, body);
});

test('runServiceCall() never runs a lost call again', async () => {
  const gateway = new FakeGateway({
    s1: {call: () => createFailure('lost')},
    s2: booked,
  });
  const first = await call(gateway);
  assert.is(!first.ok && first.error.outcome, 'unknown');
  const again = await call(gateway, {requestId: 'req_2'});
  assert.is(!again.ok && again.error.outcome, 'unknown');
  assert.is(gateway.calls.length, 1);
});

test('runServiceCall() tries another endpoint if nothing was sent', async () => {
  const gateway = new FakeGateway({
    s1: {call: () => createFailure('not-sent')},
    s2: {call: () => createFailure('refused')},
    s3: booked,
  });
  const answer = await call(gateway);
  assert.is(answer.ok && answer.value.body.toString(), 's3');
  assert.is(gateway.bills.length, 1);
});

test('runServiceCall() sends nothing without a committed claim', async () => {
  const gateway = new FakeGateway({s1: booked});
  gateway.acceptsCommand = command => command.type !== 'admit';
  const refused = await call(gateway);
  assert.is(!refused.ok && refused.error.outcome, 'not-run');
  assert.is(gateway.calls.length, 0);
  await gateway.context.settler.waitUntilSettled();
  gateway.acceptsCommand = () => true;
  const again = await call(gateway, {requestId: 'req_2'});
  assert.ok(again.ok);
});

test('runServiceCall() refuses a second request while a call is open', async () => {
  const gateway = new FakeGateway({s1: booked});
  gateway.ledger.apply({
    type: 'admit',
    requestId: 'req_0',
    customer: 'desk',
    key: 'key',
    digest: 'digest',
    repeatable: false,
    gateway: 'a2',
    repin: false,
    atMs: 0,
  });
  const answer = await call(gateway);
  assert.is(!answer.ok && answer.error.code, 'key-open');
  assert.is(!answer.ok && answer.error.outcome, 'unknown');
  assert.is(gateway.calls.length, 0);
});

test('runServiceCall() refuses a key that was used for another call', async () => {
  const gateway = new FakeGateway({s1: booked});
  await call(gateway);
  const other = await call(gateway, {requestId: 'req_2', digest: 'other'});
  assert.is(!other.ok && other.error.code, 'key-reused');
  assert.is(gateway.calls.length, 1);
});

test('runServiceCall() repeats a lost call that is repeatable', async () => {
  const gateway = new FakeGateway({
    s1: {call: () => createFailure('lost')},
    s2: booked,
  });
  const {service} = gateway.createServiceCall();
  const answer = await call(gateway, {call: service.calls[1], method: 'GET'});
  assert.is(answer.ok && answer.value.body.toString(), 's2');
});

test('runServiceCall() refuses a call after the lease has expired', async () => {
  const gateway = new FakeGateway({s1: booked});
  gateway.view = null;
  const answer = await call(gateway);
  assert.is(!answer.ok && answer.error.outcome, 'not-run');
  assert.is(gateway.calls.length, 0);
});

test.run();
