/** Tests how the requests of a gateway that shuts down end. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Route} from '../../protocol/route_table.ts';
import {createAnswer, waitForAbort} from './fake_answers.ts';
import {
  createEndpoint,
  createRoute,
  FakeGateway,
  type Behaviour,
} from './forwarding_fakes.ts';

const ENDPOINTS = ['e1', 'e2'].map(id => createEndpoint(id));

const LONG = {timeoutMs: 25_000, objectiveMs: 20_000} as const;

const hangs: Behaviour = async (_call, {signal}) => {
  await waitForAbort(signal).catch(() => {});
  return {type: 'aborted'};
};

const hangsMidway: Behaviour = async (call, options) =>
  createAnswer(call, options, {
    isStream: true,
    pieces: ['id: 1\ndata: a\n\n'],
    hangs: true,
  });

// Guards against calls whose connections are closed without an answer at the end
// of a planned stop.
test('abort() answers 502 to a call that may have run, once', async () => {
  for (const repeatability of ['idempotent', 'not-repeatable'] as const) {
    const gateway = new FakeGateway({
      route: createRoute({repeatability, maxAttempts: 3, ...LONG}),
      endpoints: ENDPOINTS,
      behave: hangs,
    });
    const {sink, done} = gateway.start();
    await gateway.clock.advance(1_000);
    gateway.forwarder.shutdown.abort();
    await done;
    assert.deepEqual([sink.status, sink.outcome], [502, 'whole']);
    assert.equal(gateway.attempts.length, 1, repeatability);
  }
});

test('abort() breaks off a stream that has begun, without a retry', async () => {
  const gateway = new FakeGateway({
    route: createRoute({
      repeatability: 'stream',
      resumable: true,
      maxAttempts: 3,
      ...LONG,
    }),
    endpoints: ENDPOINTS,
    behave: hangsMidway,
  });
  const {sink, done} = gateway.start();
  await gateway.clock.advance(1_000);
  assert.equal(sink.outcome, null);
  gateway.forwarder.shutdown.abort();
  await done;
  assert.deepEqual([sink.status, sink.outcome], [200, 'cut']);
  assert.equal(gateway.attempts.length, 1);
});

test('abort() refuses a request that waits for a back-off as not run', async () => {
  const gateway = new FakeGateway({
    route: createRoute({maxAttempts: 3, ...LONG}),
    endpoints: ENDPOINTS,
    behave: async (call, options) => createAnswer(call, options),
  });
  for (const endpoint of ENDPOINTS) {
    gateway.notices.record(endpoint, {isLeaving: false, quietMs: 5_000});
  }
  const {sink, done} = gateway.start();
  await gateway.clock.advance(1_000);
  assert.equal(sink.outcome, null);
  gateway.forwarder.shutdown.abort();
  await done;
  assert.equal(sink.status, 503);
  assert.ok(sink.headers.some(([name]) => name === 'Retry-After'));
  assert.equal(gateway.attempts.length, 0);
});

test('abort() delivers an answer that was received whole', async () => {
  const gateway = new FakeGateway({
    route: createRoute({
      models: ['small', 'large'],
      repeatability: 'stream',
      resumable: true,
      maxAttempts: 3,
      timeoutMs: 25_000,
      objectiveMs: 20_000,
    }),
    endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
    behave: (call, options, clock) =>
      options.model === 'large'
        ? hangs(call, options, clock)
        : Promise.resolve(
            createAnswer(call, options, {
              isStream: true,
              pieces: ['id: 1\ndata: a\n\n'],
              facts: {confidence: 5},
            }),
          ),
  });
  const {sink, done} = gateway.start({model: '*', isModelOpen: true});
  await gateway.clock.advance(1_000);
  assert.equal(gateway.attempts.at(-1)?.model, 'large');
  gateway.forwarder.shutdown.abort();
  await done;
  assert.deepEqual([sink.status, sink.outcome], [200, 'whole']);
});

/** A gateway whose endpoint takes as long as the output is. */
function createTimedGateway(route: Partial<Route> = {}): FakeGateway {
  return new FakeGateway({
    route: createRoute({...LONG, maxAttempts: 3, ...route}),
    endpoints: ENDPOINTS,
    behave: async (call, options, clock) => {
      await clock.sleep(call.facts.maxOutputTokens, options.signal);
      return createAnswer(call, options);
    },
  });
}

// Guards against requests that are begun although they cannot end in the grace
// period.
test('begin() refuses requests that are not expected to end in time', async () => {
  const gateway = createTimedGateway();
  for (const maxOutputTokens of [3_000, 100, 100]) {
    await gateway.request({maxOutputTokens});
  }
  const {shutdown} = gateway.forwarder;
  shutdown.begin(gateway.clock.monotonic() + 7_300);
  const early = await gateway.request({maxOutputTokens: 3_000});
  assert.equal(early.status, 200);
  // 4,300 ms are left.
  assert.equal((await gateway.request({maxOutputTokens: 4_400})).status, 503);
  assert.equal((await gateway.request({maxOutputTokens: 3_000})).status, 200);
  const late = await gateway.request({maxOutputTokens: 3_000});
  assert.equal(late.status, 503);
  assert.deepEqual(
    late.headers.find(([name]) => name === 'Retry-After'),
    ['Retry-After', '0.000'],
  );
  assert.equal(gateway.attempts.length, 5);
});

// Guards against a single slow request that keeps a stopping gateway from taking
// any request of its route.
test('begin() expects what all but a tenth of the recent requests took', async () => {
  const gateway = createTimedGateway();
  const facts = {maxOutputTokens: 2_000};
  for (let request = 0; request < 20; request++) {
    await gateway.request(request === 10 ? {maxOutputTokens: 9_000} : facts);
  }
  gateway.forwarder.shutdown.begin(gateway.clock.monotonic() + 7_300);
  assert.equal((await gateway.request(facts)).status, 200);
});

// Guards against requests that are refused twice by the same stopping gateway,
// because their callers return while their lists still name it.
test('begin() asks callers to return when their lists have expired', async () => {
  const gateway = createTimedGateway();
  const now = gateway.clock.monotonic();
  gateway.forwarder.shutdown.begin(now + 7_300, {returnAt: now + 1_500});
  const findReturn = async () => {
    const {headers} = await gateway.request();
    return headers.find(([name]) => name === 'Retry-After')?.[1];
  };
  assert.equal(await findReturn(), '1.500');
  await gateway.clock.advance(1_000);
  assert.ok(Number(await findReturn()) <= 0.5);
  await gateway.clock.advance(1_700);
  gateway.forwarder.startRefusing();
  assert.equal(await findReturn(), '0.000');
});

test('begin() bounds requests of an unknown route by their deadline', async () => {
  const gateway = createTimedGateway();
  const {shutdown} = gateway.forwarder;
  shutdown.begin(gateway.clock.monotonic() + 7_300);
  const facts = {maxOutputTokens: 100};
  assert.equal((await gateway.request(facts)).status, 503);
  const bounded = await gateway.request({...facts, budgetMs: 6_000});
  assert.equal(bounded.status, 200);
  assert.equal(gateway.attempts.length, 1);
});

test('begin() prevents a retry that is not expected to end in time', async () => {
  for (const leftMs of [4_500, 2_500]) {
    let attempts = 0;
    const gateway = new FakeGateway({
      route: createRoute({...LONG, maxAttempts: 3}),
      endpoints: ENDPOINTS,
      behave: async (call, options, clock) => {
        await clock.sleep(2_000, options.signal);
        // The first request sets the expectation, the second is retried.
        return ++attempts === 2
          ? {type: 'broken', reason: 'reset'}
          : createAnswer(call, options);
      },
    });
    await gateway.request();
    const {shutdown} = gateway.forwarder;
    shutdown.begin(gateway.clock.monotonic() + leftMs);
    const sink = await gateway.request();
    const canEnd = leftMs > 4_000;
    // 502 does not promise that it did not run.
    assert.equal(sink.status, canEnd ? 200 : 502);
    assert.equal(attempts, canEnd ? 3 : 2);
  }
});

test('begin() prevents a wait for a back-off that leaves too little time', async () => {
  const gateway = createTimedGateway();
  await gateway.request({maxOutputTokens: 1_000});
  for (const endpoint of ENDPOINTS) {
    gateway.notices.record(endpoint, {isLeaving: false, quietMs: 1_500});
  }
  const startedAt = gateway.clock.monotonic();
  gateway.forwarder.shutdown.begin(startedAt + 2_000);
  const sink = await gateway.request({maxOutputTokens: 1_000});
  assert.equal(sink.status, 503);
  assert.equal(gateway.attempts.length, 1);
  assert.ok(gateway.clock.monotonic() - startedAt < 100, 'refuses at once');
});

// Guards against streams that are held at an endpoint that is gone until the grace
// period ends, since a resumed stream was expected to take as long as a whole one.
test('begin() allows a stream to be resumed when its rest ends in time', async () => {
  const EVENTS = 30;
  let isSilent = false;
  const gateway = new FakeGateway({
    route: createRoute({
      ...LONG,
      objectiveMs: 2_000,
      repeatability: 'stream',
      resumable: true,
      maxAttempts: 3,
    }),
    endpoints: ENDPOINTS,
    behave: async (call, options, clock) => {
      const answer = createAnswer(call, options, {isStream: true});
      if (answer.type !== 'answer') return answer;
      const first = Number(options.lastEventId ?? 0) + 1;
      const isFirst = gateway.attempts.length === 2;
      async function* sendEvents() {
        for (let event = first; event <= EVENTS; event++) {
          if (isSilent && isFirst) await waitForAbort(options.signal);
          yield Buffer.from(`id: ${event}\ndata: a\n\n`);
          await clock.sleep(100, options.signal);
        }
      }
      return {...answer, answer: {...answer.answer, body: sendEvents()}};
    },
  });
  await gateway.request();
  const {sink, done} = gateway.start();
  await gateway.clock.advance(2_000);
  // Of 3 s, 1 s is left; the grace period ends 3.5 s after the last event.
  isSilent = true;
  gateway.forwarder.shutdown.begin(gateway.clock.monotonic() + 3_500);
  await gateway.clock.advance(3_500);
  gateway.forwarder.shutdown.abort();
  await done;
  assert.equal(sink.outcome, 'whole');
  assert.equal(gateway.attempts.length, 3);
});

test('begin() prevents escalations that are not expected to end in time', async () => {
  for (const leftMs of [10_000, 500]) {
    const gateway = new FakeGateway({
      route: createRoute({
        ...LONG,
        models: ['small', 'large'],
        repeatability: 'stream',
        resumable: true,
        maxAttempts: 3,
      }),
      endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
      behave: async (call, options, clock) => {
        await clock.sleep(300, options.signal);
        return createAnswer(call, options, {
          isStream: true,
          pieces: ['id: 1\ndata: a\n\n'],
          facts: {confidence: options.model === 'small' ? 5 : 90},
        });
      },
    });
    const facts = {model: '*', isModelOpen: true};
    await gateway.request(facts);
    gateway.attempts.length = 0;
    const {sink, done} = gateway.start(facts);
    await gateway.clock.advance(100);
    gateway.forwarder.shutdown.begin(gateway.clock.monotonic() + leftMs);
    await gateway.clock.advance(1_000);
    await done;
    const models = gateway.attempts.map(({model}) => model);
    const expected = leftMs > 1_000 ? ['small', 'large'] : ['small'];
    assert.deepEqual(models, expected);
    assert.deepEqual([sink.status, sink.outcome], [200, 'whole']);
  }
});

test.run();
