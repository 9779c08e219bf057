import {setImmediate} from 'node:timers/promises';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {fail, succeed} from '../../protocol/outcome.ts';
import type {Limiter, Permit} from '../limits/permit.ts';
import {createDeadline} from './deadline.ts';
import {PoolPermits} from './pool_permits.ts';
import {FakeGateway} from './request_fakes.ts';

/** A limiter that refuses pools without room and counts open permits. */
class CountingLimiter implements Limiter {
  hasRoom = true;
  open = 0;

  async acquire() {
    if (!this.hasRoom) {
      const message = 'the queue is full';
      const refusal = {reason: 'queue-full', message, retryAfterMs: 1} as const;
      return fail(refusal);
    }
    this.open++;
    let isOpen = true;
    return succeed<Permit>({
      queuedMs: 0,
      recordFirstToken: () => {},
      [Symbol.dispose]: () => {
        if (isOpen) this.open--;
        isOpen = false;
      },
    });
  }
}

function createSetting() {
  const gateway = new FakeGateway({e1: {}, e2: {}});
  const limiter = new CountingLimiter();
  Object.assign(gateway.context.decisions, {limiter});
  const call = gateway.createCompletion();
  const {clock, history} = gateway.context;
  const permits = new PoolPermits({
    call,
    context: gateway.context,
    deadline: createDeadline(clock, 5_000),
    record: history.begin({
      requestId: call.requestId,
      gateway: 'a1',
      customer: 'desk',
      kind: 'completion',
      wanted: 'draft',
      receivedAtMs: 0,
    }),
  });
  const [small, large] = gateway.view?.declaration?.versions ?? [];
  if (!small || !large) throw new Error('Could not find the versions');
  for (const endpoint of gateway.context.listEndpoints()) {
    if (endpoint.name === 'e2') Object.assign(endpoint, {pool: 'other'});
  }
  return {gateway, limiter, permits, small, large: {...large, pool: 'other'}};
}

const {signal} = new AbortController();

// Guards against leaving a silent attempt for a version that is refused then.
test('reserve() holds a permit of another pool before it succeeds', async () => {
  const {limiter, permits, small, large} = createSetting();
  assert.ok((await permits.acquire(small, signal)).ok);
  limiter.hasRoom = false;
  const refused = permits.reserve(large, 'e1');
  assert.equal(refused, fail('waits for a permit of other'));
  await setImmediate();
  assert.not.ok(permits.reserve(large, 'e1').ok);
  await setImmediate();
  limiter.hasRoom = true;
  assert.not.ok(permits.reserve(large, 'e1').ok);
  await setImmediate();
  assert.equal(permits.reserve(large, 'e1'), succeed('draft/large'));
  limiter.hasRoom = false;
  assert.ok((await permits.acquire(large, signal)).ok);
  assert.is(limiter.open, 1);
  permits[Symbol.dispose]();
  assert.is(limiter.open, 0);
});

// Guards against slots that stay taken after a silent endpoint went on.
test('release() gives back a permit that was reserved or is waited for', async () => {
  const {limiter, permits, small, large} = createSetting();
  await permits.acquire(small, signal);
  for (const isHeld of [true, false]) {
    permits.reserve(large, 'e1');
    if (isHeld) await setImmediate();
    permits.release();
    await setImmediate();
    assert.is(limiter.open, 1);
  }
});

// Guards against leaving a silent attempt for a version that cannot run.
test('reserve() refuses a version that cannot run elsewhere', async () => {
  const {gateway, permits, small, large} = createSetting();
  await permits.acquire(small, signal);
  const {view} = gateway;
  assert.equal(
    permits.reserve(large, 'e2'),
    fail('no endpoint of draft/large takes work'),
  );
  gateway.view = null;
  assert.equal(
    permits.reserve(large, 'e1'),
    fail('this gateway lost its lease'),
  );
  if (!view) throw new Error('Could not find the view');
  const withdrawals = [{version: 'draft/large', reason: 'bad'}];
  gateway.view = {...view, withdrawals};
  assert.equal(permits.reserve(large, 'e1'), fail('draft/large was withdrawn'));
});

test.run();
