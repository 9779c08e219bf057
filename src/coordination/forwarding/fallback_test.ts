/**
 * Guards against late or missing answers when a burst leaves the larger models
 * too busy to begin in time.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger, type LogFields} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {createAnswer, waitForAbort} from './fake_answers.ts';
import {
  createEndpoint,
  createRoute,
  FakeGateway,
  type Behaviour,
  type FakeGatewayOptions,
} from './forwarding_fakes.ts';

const OBJECTIVE_MS = 2_000;

const ROUTE = createRoute({
  repeatability: 'stream',
  resumable: true,
  objectiveMs: OBJECTIVE_MS,
  timeoutMs: 10_000,
  maxAttempts: 3,
  models: ['small', 'large'],
});

const THREE = ['e1', 'e2', 'e3'].map(id => createEndpoint(id));

interface Models {
  /** The time until the smallest model begins, in ms. */
  readonly smallMs?: number;
  /** The behaviour of the largest model, one per attempt. */
  readonly large: readonly Behaviour[];
}

function createGateway(
  {smallMs = 100, large}: Models,
  options: Partial<FakeGatewayOptions> = {},
) {
  const behaviours = [...large];
  return new FakeGateway({
    route: ROUTE,
    endpoints: THREE,
    behave: async (call, options, clock) => {
      if (options.model === 'large') {
        const behave = behaviours.shift();
        assert.ok(behave, 'the largest model is asked too often');
        return behave(call, options, clock);
      }
      await clock.sleep(smallMs);
      return createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\ndata: small\n\n', 'id: 2\ndata: small\n\n'],
        facts: {confidence: 5},
      });
    },
    ...options,
  });
}

const waitForever: Behaviour = async (_call, {signal}) => {
  await waitForAbort(signal).catch(() => {});
  return {type: 'aborted'};
};

const answerSoon: Behaviour = async (call, options, clock) => {
  await clock.sleep(300);
  return createAnswer(call, options, {
    isStream: true,
    pieces: ['id: 1\ndata: large\n\n'],
  });
};

const breakSoon: Behaviour = async () => ({type: 'broken', reason: 'reset'});

function listModels(gateway: FakeGateway) {
  return gateway.attempts.map(({model}) => model);
}

test('forward() delivers the held answer in time when the largest model does not begin', async () => {
  const gateway = createGateway({large: [waitForever]});
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.outcome, 'whole');
  assert.equal(sink.text, 'id: 1\ndata: small\n\nid: 2\ndata: small\n\n');
  assert.deepEqual(listModels(gateway), ['small', 'large']);
  assert.ok(
    gateway.attempts[1]?.signal.aborted,
    'the attempt at the largest model was not aborted',
  );
  assert.ok(gateway.clock.monotonic() < OBJECTIVE_MS);
});

test('forward() delivers the largest model once it begins, and nothing of the held answer', async () => {
  const gateway = createGateway({large: [answerSoon]});
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.text, 'id: 1\ndata: large\n\n');
});

test('forward() cancels the held answer once the largest model begins', async () => {
  let isCancelled = false;
  const gateway = new FakeGateway({
    route: ROUTE,
    endpoints: THREE,
    behave: async (call, options, clock) => {
      if (options.model === 'large') return answerSoon(call, options, clock);
      return createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\n\n'],
        hangs: true,
        facts: {confidence: 5},
        onCancel: () => (isCancelled = true),
      });
    },
  });
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.text, 'id: 1\ndata: large\n\n');
  assert.ok(isCancelled);
});

test('forward() retries the largest model elsewhere while there is time', async () => {
  const gateway = createGateway({large: [breakSoon, answerSoon]});
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.text, 'id: 1\ndata: large\n\n');
  assert.deepEqual(listModels(gateway), ['small', 'large', 'large']);
});

test('forward() delivers the held answer when no attempt is left', async () => {
  const gateway = createGateway({large: [breakSoon, breakSoon]});
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.equal(sink.outcome, 'whole');
  assert.match(sink.text, /small/);
  assert.ok(gateway.clock.monotonic() < OBJECTIVE_MS / 2);
});

test('forward() does not escalate when the smallest model was slow', async () => {
  const gateway = createGateway({smallMs: 1_300, large: []});
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.match(sink.text, /small/);
  assert.deepEqual(listModels(gateway), ['small']);
});

test('forward() cancels both attempts when the caller disconnects', async () => {
  const left = new AbortController();
  let cancelled = 0;
  const gateway = new FakeGateway({
    route: ROUTE,
    endpoints: THREE,
    behave: async (call, options) => {
      if (options.model === 'large') {
        setImmediate(() => left.abort());
        await waitForAbort(options.signal).catch(() => {});
        return {type: 'aborted'};
      }
      return createAnswer(call, options, {
        isStream: true,
        hangs: true,
        facts: {confidence: 5},
        onCancel: () => cancelled++,
      });
    },
  });
  const sink = await gateway.request(
    {model: '*', isModelOpen: true},
    left.signal,
  );
  assert.equal(sink.hasBegun, false);
  assert.equal(cancelled, 1);
  assert.ok(gateway.attempts[1]?.signal.aborted);
});

// Guards against answers of which no line and no counter says why a larger model
// that was asked did not give them.
test('forward() says when it leaves a larger model for a held answer', async () => {
  const decisions: LogFields[] = [];
  const counted: string[] = [];
  const gateway = createGateway(
    {large: [waitForever]},
    {
      logger: {
        ...silentLogger,
        info: (message, fields = {}) => {
          if (/is silent/.test(message)) decisions.push(fields);
        },
      },
      metrics: {
        ...silentMetrics,
        count: (name, _value, tags) => {
          if (name === 'silences') counted.push(tags?.['decision'] ?? '');
        },
      },
    },
  );
  const sink = await gateway.request({model: '*', isModelOpen: true});
  assert.match(sink.text, /small/);
  assert.deepEqual(counted, ['fall-back']);
  assert.equal(decisions.length, 1);
  const [{decision, endpoint, silenceMs, heldBytes} = {}] = decisions;
  assert.equal(decision, 'fall-back');
  assert.equal(endpoint, gateway.attempts[1]?.endpoint.id);
  assert.ok(Number(silenceMs) > 1_000);
  assert.ok(Number(heldBytes) > 0);
});

test.run();
