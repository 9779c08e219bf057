/** Tests where a request goes when its endpoint is silent for good. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {PLAIN_ANSWER, waitForAbort} from './fake_answers.ts';
import {createEndpoint, FakeGateway} from './forwarding_fakes.ts';
import {
  createPathlessGateway,
  sendStream,
  STREAM_ROUTE,
} from './stream_fakes.ts';

/** From when on the first endpoint is silent for good, in ms. */
const SILENT_FROM_MS = 1_000;
const DEAD = [SILENT_FROM_MS, Infinity] as const;

// Guards against a stream that is held at an endpoint that is gone, since the other
// one works on a call that has no output yet.
test('reserve() lets a stream move to an endpoint with a long call', async () => {
  const gateway: FakeGateway = new FakeGateway({
    route: {...STREAM_ROUTE, objectiveMs: 20_000},
    endpoints: ['e1', 'e2'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      if (gateway.attempts[0] === options) {
        return sendStream({call, options, clock, silence: DEAD});
      }
      if (gateway.attempts[1] === options) await clock.sleep(15_000);
      return sendStream({call, options, clock});
    },
  });
  const {done} = gateway.start();
  const long = gateway.start();
  await gateway.clock.advance(4_200);
  assert.equal(gateway.attempts[1]?.endpoint.id, 'e2');
  assert.equal(gateway.attempts.length, 3);
  await gateway.clock.advance(30_000);
  await Promise.all([done, long.done]);
});

// Guards against an answer that is taken from each successor in turn before it has
// read the prompt.
test('reserve() lets a successor read a prompt for as long as a first endpoint', async () => {
  const gateway: FakeGateway = new FakeGateway({
    route: {...STREAM_ROUTE, maxAttempts: 4},
    endpoints: ['e1', 'e2', 'e3', 'e4'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      if (gateway.attempts[0] === options) {
        return sendStream({call, options, clock, silence: DEAD});
      }
      if (options.lastEventId !== null) await clock.sleep(1_500);
      if (options.signal.aborted) return {type: 'aborted'};
      return sendStream({call, options, clock});
    },
  });
  const {sink, done} = gateway.start();
  const others: Promise<void>[] = [];
  for (let sentMs = 0; sentMs < 8_000; sentMs += 200) {
    others.push(gateway.start().done);
    await gateway.clock.advance(200);
  }
  await gateway.clock.advance(22_000);
  await Promise.all([done, ...others]);
  assert.equal(sink.outcome, 'whole');
  const resumed = gateway.attempts.filter(({lastEventId}) => lastEventId);
  assert.equal(resumed.length, 1);
});

// Guards against an answer that moves to an endpoint that another one has just left
// as dead, while its own is silent for a moment: it was cut when its attempts were
// used up.
test('reserve() keeps a stream from an endpoint that was left as silent', async () => {
  const speaksAgainMs = 5_400;
  const gateway: FakeGateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: ['e1', 'e2'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      const place = gateway.attempts.indexOf(options);
      const outcome = sendStream({
        call,
        options,
        clock,
        ...(place === 0 && {silence: DEAD}),
      });
      if (place === 0 || outcome.type !== 'answer') return outcome;
      const {body} = outcome.answer;
      async function* pause() {
        for await (const piece of body) {
          const now = clock.monotonic();
          const isSilent = now > 3_300 && now < speaksAgainMs;
          if (isSilent) await clock.sleep(speaksAgainMs - now, options.signal);
          yield piece;
        }
      }
      return {...outcome, answer: {...outcome.answer, body: pause()}};
    },
  });
  const first = gateway.start();
  await gateway.clock.advance(2_400);
  const second = gateway.start();
  await gateway.clock.advance(30_000);
  await Promise.all([first.done, second.done]);
  const [dead] = gateway.attempts;
  const later = gateway.attempts.slice(1);
  assert.ok(later.every(({endpoint}) => endpoint !== dead?.endpoint));
  assert.equal(later.length, 2);
  assert.equal(first.sink.outcome, 'whole');
  assert.equal(second.sink.outcome, 'whole');
});

// Guards against an answer that is cut at the end of a planned stop, since its
// successor is dead and was kept for what it had not begun.
test('reserve() leaves a successor that never spoke during a planned stop', async () => {
  const gateway: FakeGateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      const place = gateway.attempts.indexOf(options);
      if (place === 1) {
        await waitForAbort(options.signal).catch(() => {});
        return {type: 'aborted'};
      }
      const isFirst = place === 0;
      return sendStream({
        call,
        options,
        clock,
        ...(isFirst && {silence: DEAD}),
      });
    },
  });
  const {clock, forwarder} = gateway;
  const {sink, done} = gateway.start();
  await clock.advance(3_500);
  assert.equal(gateway.attempts.length, 2);
  forwarder.shutdown.begin(clock.monotonic() + 7_300);
  await clock.advance(7_300);
  forwarder.shutdown.abort();
  await clock.advance(1_000);
  await done;
  assert.equal(sink.outcome, 'whole');
  assert.equal(gateway.attempts.length, 3);
});

// Guards against an answer that stays at a dead endpoint until its deadline, since
// the other one had refused the request a moment before the answer began.
test('reserve() lets a stream move to an endpoint that refused it before', async () => {
  const gateway: FakeGateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: ['e1', 'e2'].map(id => createEndpoint(id)),
    behave: async (call, options, clock) => {
      const place = gateway.attempts.indexOf(options);
      if (place === 0) {
        const facts = {...PLAIN_ANSWER, isNotRun: true};
        return {type: 'not-run', status: 503, facts};
      }
      const isFirst = place === 1;
      return sendStream({
        call,
        options,
        clock,
        ...(isFirst && {silence: DEAD}),
      });
    },
  });
  const {sink, done} = gateway.start();
  await gateway.clock.advance(SILENT_FROM_MS + 3_000);
  assert.equal(gateway.attempts.length, 3);
  await gateway.clock.advance(30_000);
  await done;
  assert.equal(sink.outcome, 'whole');
});

// Guards against a request that waits at the only endpoint until its deadline, while
// another gateway would serve it.
test('reserve() gives up a request without a path that another gateway takes', async () => {
  const {gateway, countRelayed} = createPathlessGateway(['e1']);
  const {sink, done} = gateway.start();
  await gateway.clock.advance(4_000);
  assert.deepEqual([countRelayed(), sink.status], [1, 200]);
  await done;
});

// Guards against a single answer that takes the retries of all requests.
test('reserveAgain() asks many refusing endpoints a few times a second', async () => {
  const gateway: FakeGateway = new FakeGateway({
    route: STREAM_ROUTE,
    endpoints: Array.from({length: 20}, (_, place) =>
      createEndpoint(`e${place}`),
    ),
    behave: async (call, options, clock) =>
      gateway.attempts[0] === options
        ? sendStream({call, options, clock, silence: DEAD})
        : {type: 'not-run', status: 503, facts: PLAIN_ANSWER},
    retryExtra: 5_000,
  });
  gateway.start();
  await gateway.clock.advance(8_000);
  const sent = gateway.attempts.length;
  gateway.forwarder.shutdown.abort();
  await gateway.clock.advance(1_000);
  assert.ok(sent < 50, `${sent} attempts`);
});

test.run();
