import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createAnswer, PLAIN_ANSWER, waitForAbort} from './fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
  type Behaviour,
} from './forwarding_fakes.ts';

const TWO = [createEndpoint('e1'), createEndpoint('e2')];

const STREAM = createRoute({
  repeatability: 'stream',
  resumable: true,
  maxAttempts: 3,
  timeoutMs: 10_000,
  objectiveMs: 2_000,
});

/** Handles each attempt by the next of the behaviours. */
function inTurn(...behaviours: Behaviour[]): Behaviour {
  let next = 0;
  return (call, options, clock) => {
    const behave = behaviours[next++];
    if (!behave) throw new Error('Unexpected further attempt');
    return behave(call, options, clock);
  };
}

const answers: Behaviour = async (call, options) => createAnswer(call, options);

const breaks: Behaviour = async () => ({type: 'broken', reason: 'reset'});

const refuses: Behaviour = async () => ({
  type: 'not-run',
  status: 503,
  facts: PLAIN_ANSWER,
});

const hangs: Behaviour = async (_call, {signal}) => {
  await waitForAbort(signal).catch(() => {});
  return {type: 'aborted'};
};

test('forward() delivers an answer unchanged', async () => {
  const gateway = new FakeGateway({endpoints: TWO, behave: inTurn(answers)});
  const sink = await gateway.request();
  assert.deepEqual(
    [sink.status, sink.text, sink.outcome],
    [200, 'ok', 'whole'],
  );
});

test('forward() never retries a non-repeatable request that may have run', async () => {
  const gateway = new FakeGateway({
    route: createRoute({repeatability: 'not-repeatable', maxAttempts: 3}),
    endpoints: TWO,
    behave: inTurn(breaks),
  });
  const sink = await gateway.request();
  // 502 does not guarantee that the request did not run; 503 would.
  assert.equal(sink.status, 502);
  assert.equal(gateway.attempts.length, 1);
});

test('forward() retries a request that did not run at another endpoint', async () => {
  const gateway = new FakeGateway({
    route: createRoute({repeatability: 'not-repeatable', maxAttempts: 1}),
    endpoints: TWO,
    behave: inTurn(refuses, answers),
  });
  const sink = await gateway.request();
  assert.equal(sink.status, 200);
  const ids = gateway.attempts.map(({endpoint}) => endpoint.id);
  assert.equal(new Set(ids).size, 2);
});

test('forward() refuses with Retry-After when nothing ran', async () => {
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: inTurn(refuses, refuses),
  });
  const sink = await gateway.request();
  assert.equal(sink.status, 503);
  assert.ok(sink.headers.some(([name]) => name === 'Retry-After'));
});

test('forward() retries an idempotent request up to its attempt limit', async () => {
  const three = [...TWO, createEndpoint('e3')];
  const gateway = new FakeGateway({
    endpoints: three,
    behave: inTurn(breaks, breaks),
  });
  const sink = await gateway.request();
  assert.equal(sink.status, 502);
  assert.equal(gateway.attempts.length, 2);
});

test('forward() delivers an error answer when no other endpoint succeeds', async () => {
  const fails: Behaviour = async (call, options) =>
    createAnswer(call, options, {status: 500, pieces: ['sorry']});
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: inTurn(fails, fails),
  });
  const sink = await gateway.request();
  assert.deepEqual([sink.status, sink.text], [500, 'sorry']);
});

test('forward() discards an answer that belongs to another request', async () => {
  const mixesUp: Behaviour = async (call, options) =>
    createAnswer(call, options, {facts: {attemptId: 'someone else'}});
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: inTurn(mixesUp, answers),
  });
  const sink = await gateway.request();
  assert.deepEqual([sink.status, sink.text], [200, 'ok']);
});

test('forward() answers before the deadline, with 504 when it may have run', async () => {
  const gateway = new FakeGateway({
    route: createRoute({repeatability: 'not-repeatable', maxAttempts: 1}),
    endpoints: TWO,
    behave: hangs,
  });
  const sink = await gateway.request({budgetMs: 700});
  assert.equal(sink.status, 504);
  assert.ok(gateway.clock.monotonic() <= 700);
});

test('forward() resumes a stream after its last event', async () => {
  const gateway = new FakeGateway({
    route: STREAM,
    endpoints: TWO,
    behave: inTurn(
      async (call, options) =>
        createAnswer(call, options, {
          isStream: true,
          pieces: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\nid: 3\nda'],
          breaks: true,
        }),
      async (call, options) =>
        createAnswer(call, options, {
          isStream: true,
          pieces: ['id: 2\ndata: b\n\nid: 3\ndata: c\n\n'],
        }),
    ),
  });
  const sink = await gateway.request();
  assert.equal(
    sink.text,
    'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
  );
  assert.equal(sink.outcome, 'whole');
  assert.equal(gateway.attempts[1]?.lastEventId, '2');
});

test('forward() resumes elsewhere when a stream stalls', async () => {
  const gateway = new FakeGateway({
    route: STREAM,
    endpoints: TWO,
    behave: inTurn(
      async (call, options) =>
        createAnswer(call, options, {
          isStream: true,
          pieces: ['id: 1\n\n'],
          hangs: true,
        }),
      async (call, options) =>
        createAnswer(call, options, {isStream: true, pieces: ['id: 2\n\n']}),
    ),
  });
  const sink = await gateway.request();
  assert.equal(sink.text, 'id: 1\n\nid: 2\n\n');
  assert.ok(gateway.clock.monotonic() < 3_000);
});

test('forward() aborts a stream that cannot be resumed', async () => {
  const gateway = new FakeGateway({
    route: createRoute({repeatability: 'stream', maxAttempts: 3}),
    endpoints: TWO,
    behave: inTurn(async (call, options) =>
      createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\n\n'],
        breaks: true,
      }),
    ),
  });
  const sink = await gateway.request();
  assert.equal(sink.outcome, 'cut');
});

test('forward() escalates an answer of low confidence to the largest model', async () => {
  const confidences = [20, 10];
  const gateway = new FakeGateway({
    route: {...STREAM, models: ['small', 'middle', 'large']},
    endpoints: TWO,
    behave: async (call, options) =>
      createAnswer(call, options, {
        isStream: true,
        pieces: [`id: 1\ndata: ${options.model}\n\n`],
        facts: {confidence: confidences.shift() ?? null},
      }),
  });
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.text, 'id: 1\ndata: large\n\n');
  assert.deepEqual(
    gateway.attempts.map(({model}) => model),
    ['small', 'large'],
  );
});

test('forward() delivers a low-confidence answer when no other endpoint is left', async () => {
  const gateway = new FakeGateway({
    route: {...STREAM, models: ['small', 'large']},
    endpoints: [createEndpoint('e1')],
    behave: async (call, options) =>
      createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\n\n'],
        facts: {confidence: 5},
      }),
  });
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.deepEqual([sink.status, sink.outcome], [200, 'whole']);
});

test('forward() asks the smallest model again when its answer broke off and the largest failed late', async () => {
  let smallAnswers = 0;
  const three = [...TWO, createEndpoint('e3')];
  const gateway = new FakeGateway({
    route: {...STREAM, models: ['small', 'large']},
    endpoints: three,
    behave: async (call, options, clock) => {
      if (options.model === 'large') {
        await clock.sleep(2_100);
        return {type: 'broken', reason: 'reset'};
      }
      const breaks = smallAnswers++ === 0;
      return createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\n\n'],
        breaks,
        facts: {confidence: 5},
      });
    },
  });
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.outcome, 'whole');
  assert.deepEqual(
    gateway.attempts.map(({model}) => model),
    ['small', 'large', 'small'],
  );
});

test('forward() refuses requests to a gateway that is shutting down', async () => {
  const gateway = new FakeGateway({endpoints: TWO, behave: inTurn(answers)});
  gateway.forwarder.startRefusing();
  const sink = await gateway.request();
  assert.equal(sink.status, 503);
  assert.equal(gateway.attempts.length, 0);
});

test('forward() aborts the attempt when the caller disconnects', async () => {
  const left = new AbortController();
  let isStopped = false;
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: async (_call, {signal}) => {
      left.abort();
      await waitForAbort(signal).catch(() => {});
      isStopped = true;
      return {type: 'aborted'};
    },
  });
  const sink = await gateway.request({}, left.signal);
  assert.equal(isStopped, true);
  assert.equal(sink.hasBegun, false);
  assert.equal(gateway.attempts.length, 1);
});

test('forward() ends only the request in which an unexpected error is thrown', async () => {
  const planted = new Error('planted');
  for (const place of ['send', 'body', 'facts'] as const) {
    let isPlanted = true;
    const gateway = new FakeGateway({
      route: createRoute({
        models: ['small', 'large'],
        repeatability: 'stream',
        resumable: true,
        objectiveMs: 2_000,
      }),
      endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
      behave: async (call, options) => {
        const isLarge = options.model === 'large';
        if (isLarge && isPlanted && place === 'send') throw planted;
        const answer = createAnswer(call, options, {
          isStream: true,
          pieces: ['id: 1\ndata: a\n\n'],
          facts: {confidence: isLarge ? 90 : 5},
        });
        if (!isLarge || !isPlanted || answer.type !== 'answer') return answer;
        const plant = () => {
          throw planted;
        };
        return place === 'facts'
          ? {
              ...answer,
              get answer(): never {
                return plant();
              },
            }
          : {
              ...answer,
              answer: {
                ...answer.answer,
                get body(): never {
                  return plant();
                },
              },
            };
      },
    });
    const facts = {model: '*', isModelOpen: true};
    await gateway.request(facts).catch((error: Error) => {
      assert.equal(error, planted, place);
    });
    isPlanted = false;
    await gateway.clock.advance(60_000);
    // A leaked escalation would count as a long wait and prevent new ones.
    gateway.attempts.length = 0;
    const sink = await gateway.request(facts);
    assert.equal(sink.outcome, 'whole', place);
    const models = gateway.attempts.map(({model}) => model);
    assert.deepEqual(models, ['small', 'large'], place);
  }
});

// Guards against a sum of extra attempts above the budget of all gateways, when
// each takes the parts of those that a core daemon does not list yet.
test('forward() takes no larger part of the retry budget from a short list', async () => {
  const gateway = new FakeGateway({
    endpoints: ['e1', 'e2', 'e3'].map(id => createEndpoint(id)),
    behave: async (call, options) => createAnswer(call, options, {status: 500}),
  });
  const listGateways = (count: number) =>
    gateway.view.apply(
      createFollowReply({
        complete: false,
        openGateways: Array.from({length: count}, (_, index) => ({
          address: index === 0 ? 'g' : `g${index}`,
          region: 'r',
          dataCentre: 'a',
          open: true,
        })),
      }),
    );
  listGateways(9);
  await gateway.request();
  listGateways(1);
  for (let count = 0; count < 29; count++) await gateway.request();
  const extra = gateway.attempts.length - 30;
  // The ratio of 0.9 and a ninth of the 50 extra attempts.
  assert.ok(extra <= 30 * 0.9 + 50 / 9, `${extra} extra attempts`);
  assert.ok(extra < 30, 'the budget limits extra attempts');
});

test.run();
