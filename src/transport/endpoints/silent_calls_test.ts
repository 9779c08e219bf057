/** Calls of plain services whose endpoint falls silent. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {FakeGateway} from '../../coordination/requests/request_fakes.ts';
import {runServiceCall} from '../../coordination/requests/run_service_call.ts';
import {
  dead,
  openSetting,
  pausing,
  spendRetries,
  well,
} from './pausing_engine_fake.ts';

/** Makes the repeatable call `GET /slots` of the fake declaration. */
async function callSlots(gateway: FakeGateway, deadlineMs = 4_000) {
  const service = gateway.createServiceCall().service;
  const call = service.calls.find(each => each.repeatable);
  if (!call) throw new Error('Could not find the call');
  const answer = await runServiceCall(
    gateway.createServiceCall({
      call,
      method: 'GET',
      path: '/slots',
      deadlineMs,
    }),
    gateway.context,
    new AbortController().signal,
  );
  const attempts = gateway.context.history.explain('req_1')?.attempts ?? [];
  return {
    body: answer.ok ? answer.value.body.toString() : answer.error.message,
    tried: attempts.map(each => each.endpoint),
  };
}

const pausingCall = {...pausing, pausedChunk: 0};
const deadCall = {...dead, pausedChunk: 0};

// Guards against ending a call that its only endpoint still runs.
test('a silent call is kept while no other endpoint takes work', async () => {
  await using setting = await openSetting({s1: pausingCall});
  const answer = await callSlots(setting.gateway);
  assert.equal(answer, {body: 'free', tried: ['s1']});
});

// Guards against ending a call for a retry that the budget refuses.
test('a silent call is kept while the retry budget is spent', async () => {
  await using setting = await openSetting({s1: pausingCall, s2: well});
  spendRetries(setting.gateway);
  const answer = await callSlots(setting.gateway);
  assert.equal(answer, {body: 'free', tried: ['s1']});
});

// Guards against ending the last attempt at a call as silent.
test('a silent call is kept if its attempts are used up', async () => {
  await using setting = await openSetting({
    s1: deadCall,
    s2: deadCall,
    s3: deadCall,
    s4: pausingCall,
    s5: well,
  });
  const answer = await callSlots(setting.gateway);
  assert.equal(answer, {body: 'free', tried: ['s1', 's2', 's3', 's4']});
});

// Guards against ending a call because the gateway lost its lease.
test('a silent call is kept while the gateway has no lease', async () => {
  await using setting = await openSetting({s1: pausingCall, s2: well});
  const {gateway} = setting;
  const answer = callSlots(gateway);
  const lost = setTimeout(() => {
    gateway.view = null;
  }, 50);
  assert.equal(await answer, {body: 'free', tried: ['s1']});
  clearTimeout(lost);
});

// Guards against waiting for a service that never answers a repeatable call.
test('a silent call is sent to another endpoint', async () => {
  await using setting = await openSetting({s1: deadCall, s2: well});
  const answer = await callSlots(setting.gateway);
  assert.equal(answer, {body: 'free', tried: ['s1', 's2']});
});

test.run();
