/** Tests how the requests of a gateway that shuts down end. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  createAnswer,
  createEndpoint,
  createRoute,
  FakeGateway,
  waitForAbort,
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
test('abortRequests() answers 502 to a call that may have run, once', async () => {
  for (const repeatability of ['idempotent', 'not-repeatable'] as const) {
    const gateway = new FakeGateway({
      route: createRoute({repeatability, maxAttempts: 3, ...LONG}),
      endpoints: ENDPOINTS,
      behave: hangs,
    });
    const {sink, done} = gateway.start();
    await gateway.clock.advance(1_000);
    gateway.forwarder.abortRequests();
    await done;
    assert.deepEqual([sink.status, sink.outcome], [502, 'whole']);
    assert.equal(gateway.attempts.length, 1, repeatability);
  }
});

test('abortRequests() breaks off a stream that has begun, without a retry', async () => {
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
  gateway.forwarder.abortRequests();
  await done;
  assert.deepEqual([sink.status, sink.outcome], [200, 'cut']);
  assert.equal(gateway.attempts.length, 1);
});

test('abortRequests() refuses a request that waits for a back-off as not run', async () => {
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
  gateway.forwarder.abortRequests();
  await done;
  assert.equal(sink.status, 503);
  assert.ok(sink.headers.some(([name]) => name === 'Retry-After'));
  assert.equal(gateway.attempts.length, 0);
});

test('abortRequests() delivers an answer that was received whole', async () => {
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
  gateway.forwarder.abortRequests();
  await done;
  assert.deepEqual([sink.status, sink.outcome], [200, 'whole']);
});

test.run();
