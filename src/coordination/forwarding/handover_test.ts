/** Tests when a silent endpoint is left for another one. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {PLAIN_ANSWER, waitForAbort} from './fake_answers.ts';
import {
  createEndpoint,
  FakeGateway,
  type FakeGatewayOptions,
} from './forwarding_fakes.ts';
import {
  createPathlessGateway,
  sendStream,
  STREAM_EVENTS,
  STREAM_ROUTE,
} from './stream_fakes.ts';

/** From when on and until when the endpoints are silent, in ms. */
const SILENT_FROM_MS = 1_000;
const SILENT_FOR_MS = 2_500;

const SILENCE = [SILENT_FROM_MS, SILENT_FROM_MS + SILENT_FOR_MS] as const;

/** A gateway whose first attempt falls silent for a while. */
function createGateway(options: Partial<FakeGatewayOptions> = {}) {
  const gateway: FakeGateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: ['e1', 'e2'].map(id => createEndpoint(id)),
    behave: async (call, attempt, clock) => {
      const isFirst = gateway.attempts[0] === attempt;
      return sendStream({
        call,
        options: attempt,
        clock,
        ...(isFirst && {silence: SILENCE}),
      });
    },
    ...options,
  });
  return gateway;
}

/** Plays one stream; returns how it ended and its attempts. */
async function playStream(
  gateway: FakeGateway,
  at: (gateway: FakeGateway) => void = () => {},
) {
  const {sink, done} = gateway.start();
  await gateway.clock.advance(SILENT_FROM_MS + 50);
  at(gateway);
  await gateway.clock.advance(30_000);
  await done;
  const ids = [...sink.text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
  const isWhole = ids.length === STREAM_EVENTS && sink.outcome === 'whole';
  return {isWhole, attempts: gateway.attempts.length, sink};
}

test('reserve() lets a stream move to an endpoint of which nothing is known', async () => {
  const {isWhole, attempts} = await playStream(createGateway());
  assert.deepEqual([isWhole, attempts], [true, 2]);
});

test('reserve() lets a stream move at once to an endpoint that speaks', async () => {
  const gateway = createGateway();
  const {sink, done} = gateway.start();
  const other = gateway.start();
  await gateway.clock.advance(SILENT_FROM_MS + 1_500);
  assert.equal(gateway.attempts.length, 3);
  await gateway.clock.advance(30_000);
  await Promise.all([done, other.done]);
  assert.equal(sink.outcome, 'whole');
});

// Each of these guards against a stream that is given up for a successor that is
// refused afterwards, as callers saw around a planned stop.
test('reserve() keeps a stream that cannot end within the grace period', async () => {
  const {isWhole, attempts} = await playStream(createGateway(), gateway =>
    gateway.forwarder.shutdown.begin(gateway.clock.monotonic() + 7_300),
  );
  assert.deepEqual([isWhole, attempts], [true, 1]);
});

test('reserve() keeps a stream while the retry budget is used up', async () => {
  const gateway = createGateway({retryRatio: 0, retryExtra: 0});
  const {isWhole, attempts} = await playStream(gateway);
  assert.deepEqual([isWhole, attempts], [true, 1]);
});

test('reserve() keeps a stream whose attempts are used up', async () => {
  const gateway = createGateway({route: {...STREAM_ROUTE, maxAttempts: 1}});
  const {isWhole, attempts} = await playStream(gateway);
  assert.deepEqual([isWhole, attempts], [true, 1]);
});

test('reserve() keeps a stream that cannot be resumed', async () => {
  const gateway = createGateway({route: {...STREAM_ROUTE, resumable: false}});
  const {isWhole, attempts} = await playStream(gateway);
  assert.deepEqual([isWhole, attempts], [true, 1]);
});

test('reserve() keeps a stream while there is no other endpoint', async () => {
  const gateway = createGateway({endpoints: [createEndpoint('e1')]});
  const {isWhole, attempts} = await playStream(gateway);
  assert.deepEqual([isWhole, attempts], [true, 1]);
});

test('reserve() keeps a stream while the other endpoints request a back-off', async () => {
  const {isWhole, attempts} = await playStream(createGateway(), gateway => {
    for (const id of ['e1', 'e2']) {
      gateway.notices.record(createEndpoint(id), {
        isLeaving: false,
        quietMs: 9_000,
      });
    }
  });
  assert.deepEqual([isWhole, attempts], [true, 1]);
});

test('reserve() keeps a stream while the other endpoints are silent as well', async () => {
  const gateway: FakeGateway = createGateway({
    behave: async (call, options, clock) =>
      sendStream({call, options, clock, silence: SILENCE}),
  });
  const streams = [gateway.start(), gateway.start(), gateway.start()];
  await gateway.clock.advance(30_000);
  await Promise.all(streams.map(({done}) => done));
  assert.ok(streams.every(({sink}) => sink.outcome === 'whole'));
  assert.equal(gateway.attempts.length, 3);
});

test('reserve() keeps a stream with a part that crashes endpoints', async () => {
  const gateway = createGateway();
  const prompt = [
    {id: 'shared', tokens: 10},
    {id: 'own', tokens: 10},
  ];
  const {sink, done} = gateway.start({prompt});
  await gateway.clock.advance(SILENT_FROM_MS + 50);
  const {quarantine} = gateway;
  quarantine.isFree = () => false;
  await gateway.clock.advance(30_000);
  await done;
  assert.equal(sink.outcome, 'whole');
  assert.equal(gateway.attempts.length, 1);
});

// Guards against a held answer that is dropped while its endpoint is silent.
test('reserve() keeps a held answer without a successor', async () => {
  const gateway: FakeGateway = createGateway({
    route: {...STREAM_ROUTE, models: ['small', 'large'], maxAttempts: 2},
    behave: async (call, options, clock) => {
      if (options.model === 'large') {
        await clock.sleep(60_000, options.signal);
        return {type: 'aborted'};
      }
      const silence = [1_700, 4_000] as const;
      const sent = sendStream({call, options, clock, silence});
      if (sent.type !== 'answer') return sent;
      const facts = {
        ...PLAIN_ANSWER,
        attemptId: call.facts.attemptId,
        confidence: 5,
      };
      return {...sent, answer: {...sent.answer, facts}};
    },
  });
  const {sink, done} = gateway.start({model: '*', isModelOpen: true});
  await gateway.clock.advance(30_000);
  await done;
  assert.equal(sink.outcome, 'whole');
});

// Guards against an answer that is lost because its reserved successor refuses it.
test('reserveAgain() looks further when the successor refuses an answer', async () => {
  let refusals = 0;
  const gateway: FakeGateway = createGateway({
    behave: async (call, options, clock) => {
      if (gateway.attempts[0] === options) {
        return sendStream({call, options, clock, silence: [1_000, Infinity]});
      }
      if (!options.mayBegin()) return {type: 'withdrawn'};
      if (++refusals <= 4) {
        const facts = {...PLAIN_ANSWER, isNotRun: true};
        return {type: 'not-run', status: 503, facts};
      }
      return sendStream({call, options, clock});
    },
  });
  const {sink, done} = gateway.start();
  await gateway.clock.advance(30_000);
  await done;
  assert.equal(sink.outcome, 'whole');
  assert.equal(refusals, 5);
});

// Guards against an answer that is lost, and a retry budget that is used up, since
// each endpoint that refuses to take the answer over costs a retry.
test('reserveAgain() charges one retry for all successors that refuse', async () => {
  let refusals = 0;
  const gateway: FakeGateway = createGateway({
    behave: async (call, options, clock) => {
      if (gateway.attempts[0] === options) {
        return sendStream({call, options, clock, silence: [1_000, Infinity]});
      }
      if (!options.mayBegin()) return {type: 'withdrawn'};
      if (++refusals <= 4) {
        const facts = {...PLAIN_ANSWER, isNotRun: true};
        return {type: 'not-run', status: 503, facts};
      }
      return sendStream({call, options, clock});
    },
    // One retry, since gateways use a part of the budget.
    retryRatio: 0,
    retryExtra: 2,
  });
  const {sink, done} = gateway.start();
  await gateway.clock.advance(30_000);
  await done;
  assert.deepEqual([sink.outcome, refusals], ['whole', 5]);
});

test('reserveAgain() asks refusing endpoints a few times a second', async () => {
  const gateway: FakeGateway = createGateway({
    // The budget must not be what bounds them.
    retryExtra: 5_000,
    behave: async (call, options, clock) => {
      if (gateway.attempts[0] === options) {
        return sendStream({call, options, clock, silence: [1_000, Infinity]});
      }
      const facts = {...PLAIN_ANSWER, isNotRun: true};
      return {type: 'not-run', status: 503, facts};
    },
  });
  gateway.start();
  await gateway.clock.advance(8_000);
  // Two endpoints, each full for 250 ms after a refusal, for 5 s.
  assert.ok(gateway.attempts.length < 50, `${gateway.attempts.length}`);
  gateway.forwarder.shutdown.abort();
  await gateway.clock.advance(1_000);
});

// Guards against third and further attempts that cost no retry: the charge of the
// attempt that is given up passed for that of its successor.
test('reserve() charges the retry budget for each successor', async () => {
  const gateway = new FakeGateway({
    route: {...STREAM_ROUTE, maxAttempts: 5},
    endpoints: ['e1', 'e2', 'e3', 'e4'].map(id => createEndpoint(id)),
    behave: async (_call, {signal}) => {
      await waitForAbort(signal).catch(() => {});
      return {type: 'aborted'};
    },
    // One retry, since gateways use a part of the budget.
    retryRatio: 0,
    retryExtra: 2,
  });
  const {done} = gateway.start();
  // Less than the window of the budget.
  await gateway.clock.advance(10_000);
  assert.equal(gateway.attempts.length, 2);
  await gateway.clock.advance(20_000);
  await done;
});

// Guards against a request that fails although an endpoint would take it: its
// successor was reserved without the permission of the quarantine, and refused.
test('reserve() lets a request with a suspect ask for a trial again', async () => {
  let attempts = 0;
  const gateway = new FakeGateway({
    route: {...STREAM_ROUTE, maxAttempts: 4},
    endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      if (!options.mayBegin()) return {type: 'withdrawn'};
      attempts++;
      if (attempts === 1) return {type: 'broken', reason: 'reset'};
      if (attempts > 2) return sendStream({call, options, clock});
      await waitForAbort(options.signal).catch(() => {});
      return {type: 'aborted'};
    },
  });
  const {sink, done} = gateway.start();
  await gateway.clock.advance(30_000);
  await done;
  assert.deepEqual([attempts, sink.status], [3, 200]);
});

// Guards against retries at endpoints that a gateway does not reach, while another
// gateway could serve the request.
test('reserve() leaves a request without a path to another gateway', async () => {
  const {gateway, countRelayed} = createPathlessGateway(['e1', 'e2']);
  const {sink, done} = gateway.start();
  await gateway.clock.advance(4_000);
  assert.deepEqual(
    [gateway.attempts.length, countRelayed(), sink.status],
    [1, 1, 200],
  );
  await done;
});

// Guards against a retry that is charged for a caller who has left.
test('reserveAgain() charges nothing for a caller who has left', async () => {
  const left = new AbortController();
  const gateway: FakeGateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      if (!options.mayBegin()) return {type: 'withdrawn'};
      if (call.facts.attemptId !== 'c0') {
        return {type: 'not-run', status: 503, facts: PLAIN_ANSWER};
      }
      if (gateway.attempts[0] === options) {
        return sendStream({call, options, clock, silence: [1_000, Infinity]});
      }
      return {type: 'not-run', status: 503, facts: PLAIN_ANSWER};
    },
    // Two retries, since gateways use a part of the budget.
    retryRatio: 0,
    retryExtra: 2.4,
  });
  const {done} = gateway.start({}, left.signal);
  for (let step = 0; step < 1_000 && gateway.attempts.length < 2; step++) {
    await gateway.clock.advance(10);
  }
  assert.equal(gateway.attempts.length, 2);
  left.abort();
  await done;
  // The second retry is left for another request.
  const other = gateway.start();
  await gateway.clock.advance(1_000);
  await other.done;
  assert.equal(gateway.attempts.length, 4);
});

test.run();
