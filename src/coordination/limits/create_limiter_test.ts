import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Clock} from '../../protocol/clock.ts';
import {createLimiter} from './create_limiter.ts';
import type {AcquireOptions, Permit, PoolCapacity} from './permit.ts';

interface Sleeper {
  readonly at: number;
  wake(): void;
}

/** Creates a clock that advances only on request. */
function createClock(): Clock & {advance(ms: number): Promise<void>} {
  let now = 0;
  let sleepers: Sleeper[] = [];
  const settle = () => new Promise<void>(resolve => setImmediate(resolve));
  return {
    now: () => now,
    monotonic: () => now,
    sleep: ms =>
      new Promise<void>(resolve =>
        sleepers.push({at: now + ms, wake: resolve}),
      ),
    async advance(ms) {
      const end = now + ms;
      while (now < end) {
        now = Math.min(end, now + 20);
        const due = sleepers.filter(each => each.at <= now);
        sleepers = sleepers.filter(each => each.at > now);
        for (const sleeper of due) sleeper.wake();
        await settle();
      }
    },
  };
}

function create(capacities: Record<string, PoolCapacity>) {
  const clock = createClock();
  const limiter = createLimiter({
    clock,
    random: () => 0,
    getCapacity: pool => capacities[pool] ?? {slots: 0, queue: 0},
  });
  const acquire = (options: Partial<AcquireOptions> = {}) =>
    limiter.acquire({customer: 'a', pool: 'p', deadlineMs: 60_000, ...options});
  const take = async (options: Partial<AcquireOptions> = {}) => {
    const outcome = await acquire(options);
    assert.ok(outcome.ok);
    return outcome.value;
  };
  return {clock, limiter, acquire, take};
}

test('acquire() isolates a full pool from other pools', async () => {
  const {acquire, take} = create({
    p: {slots: 1, queue: 0},
    q: {slots: 1, queue: 0},
  });
  await take();
  const refused = await acquire();
  assert.equal(!refused.ok && refused.error.reason, 'queue-full');
  assert.equal((await take({pool: 'q'})).queuedMs, 0);
});

test('acquire() admits the next request on release', async () => {
  const {clock, acquire, take} = create({p: {slots: 1, queue: 4}});
  const first = await take();
  const second = acquire();
  await clock.advance(100);
  first[Symbol.dispose]();
  first[Symbol.dispose]();
  const outcome = await second;
  assert.ok(outcome.ok);
  assert.equal(outcome.value.queuedMs, 100);
});

test('acquire() shares a full pool by weight', async () => {
  const {clock, acquire, take} = create({p: {slots: 1, queue: 100}});
  let held = await take({customer: 'other'});
  const order: string[] = [];
  const queue = (customer: string, weight: number) =>
    void acquire({customer, weight}).then(outcome => {
      if (!outcome.ok) return;
      order.push(customer);
      held = outcome.value;
    });
  for (let index = 0; index < 30; index++) queue('large', 1);
  for (let index = 0; index < 10; index++) queue('small', 1);
  for (let index = 0; index < 20; index++) {
    held[Symbol.dispose]();
    await clock.advance(20);
  }
  assert.equal(order.filter(each => each === 'small').length, 10);
});

test('acquire() refuses a wait beyond the deadline at once', async () => {
  const {acquire, take} = create({p: {slots: 1, queue: 100}});
  await take();
  for (let index = 0; index < 5; index++) void acquire();
  const outcome = await acquire({deadlineMs: 100});
  assert.ok(!outcome.ok);
  assert.equal(outcome.error.reason, 'deadline');
  assert.ok(outcome.error.retryAfterMs >= 1_000);
});

test('acquire() refuses a queued request at its deadline', async () => {
  const {clock, acquire, take} = create({p: {slots: 1, queue: 10}});
  await take();
  const late = acquire({deadlineMs: 200});
  await clock.advance(240);
  const outcome = await late;
  assert.equal(!outcome.ok && outcome.error.reason, 'deadline');
});

test('acquire() evicts from the longest queue when full', async () => {
  const {clock, acquire, take} = create({p: {slots: 1, queue: 3}});
  const held = await take();
  const large = [1, 2, 3].map(() => acquire({customer: 'large'}));
  const small = acquire({customer: 'small'});
  const evicted = await large[2];
  assert.equal(evicted?.ok, false);
  held[Symbol.dispose]();
  await clock.advance(20);
  const first = await Promise.race([small, large[0]]);
  assert.equal(first?.ok, true);
});

test('acquire() limits the concurrency of a customer', async () => {
  const {clock, acquire, take} = create({p: {slots: 8, queue: 8}});
  const own: Permit[] = [
    await take({concurrency: 2}),
    await take({concurrency: 2}),
  ];
  const third = acquire({concurrency: 2});
  await take({customer: 'b'});
  own[0]?.[Symbol.dispose]();
  await clock.advance(20);
  assert.equal((await third).ok, true);
});

test('acquire() counts the concurrency of a customer per pool', async () => {
  const {acquire, take} = create({
    dead: {slots: 8, queue: 8},
    good: {slots: 8, queue: 8},
  });
  await take({pool: 'dead', concurrency: 1});
  const other = await acquire({pool: 'good', concurrency: 1});
  assert.equal(other.ok, true);
});

test('acquire() ramps up a pool that becomes available', async () => {
  const capacities = {p: {slots: 0, queue: 100}};
  const {clock, limiter, acquire} = create(capacities);
  const away = await acquire();
  assert.equal(!away.ok && away.error.reason, 'pool-unavailable');
  capacities.p.slots = 10;
  for (let index = 0; index < 20; index++) void acquire();
  assert.equal(limiter.measure().get('p')?.running, 2);
  await clock.advance(5_000);
  assert.equal(limiter.measure().get('p')?.running, 10);
});

test('acquire() removes a cancelled request from the queue', async () => {
  const {limiter, acquire, take} = create({p: {slots: 1, queue: 10}});
  await take();
  const controller = new AbortController();
  const waiting = acquire({signal: controller.signal});
  controller.abort();
  const outcome = await waiting;
  assert.equal(!outcome.ok && outcome.error.reason, 'cancelled');
  assert.equal(limiter.measure().get('p')?.waiting, 0);
});

test.run();
