/**
 * Guards against aborting slow streams that make progress, and against waiting
 * for stalled streams that only send filler.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {MAX_LINEAR_GROWTH, measureGrowth} from '../../protocol/test_growth.ts';
import type {AttemptOptions, AttemptOutcome, Call} from './call.ts';
import {createAnswer} from './fake_answers.ts';
import {createEndpoint, createRoute, FakeGateway} from './forwarding_fakes.ts';

const GAP_MS = 1_200;

/** Longer than a gateway waits for a silent endpoint if another one speaks. */
const SILENCE_MS = 4_000;

/** By when such a stream is resumed, and its end is confirmed. */
const CONFIRMED_MS = 2_500;

const ROUTE = createRoute({
  repeatability: 'stream',
  resumable: true,
  objectiveMs: 2_000,
  gapObjectiveMs: GAP_MS,
  timeoutMs: 300_000,
  maxAttempts: 3,
});

type Pieces = (clock: SimulatedClock) => AsyncIterable<string>;

/** Answers with pieces until the attempt is aborted. */
function createStream(
  [call, options, clock]: [Call, AttemptOptions, SimulatedClock],
  pieces: Pieces,
): AttemptOutcome {
  const outcome = createAnswer(call, options, {isStream: true});
  if (outcome.type !== 'answer') return outcome;
  async function* read() {
    for await (const piece of pieces(clock)) {
      if (options.signal.aborted) throw new Error('aborted');
      yield Buffer.from(piece);
    }
  }
  return {...outcome, answer: {...outcome.answer, body: read()}};
}

async function* streamRest() {
  yield 'id: 2\ndata: b\n\n';
}

/** A gateway whose first attempt streams `pieces`, and the next the rest. */
function createGateway(pieces: Pieces): FakeGateway {
  let attempts = 0;
  return new FakeGateway({
    route: ROUTE,
    endpoints: [createEndpoint('e1'), createEndpoint('e2')],
    behave: async (...attempt) =>
      createStream(attempt, attempts++ === 0 ? pieces : streamRest),
  });
}

test('forward() never aborts a stream whose events arrive within the gap objective', async () => {
  const gateway = createGateway(async function* (clock) {
    for (let event = 1; event <= 100; event++) {
      yield `id: ${event}\ndata: x\n\n`;
      await clock.sleep(GAP_MS * 0.99);
    }
  });
  const sink = await gateway.request();
  assert.equal(sink.outcome, 'whole');
  assert.equal(sink.text.match(/id: /g)?.length, 100);
  assert.equal(gateway.attempts.length, 1);
});

for (const [name, filler] of [
  ['a byte', 'x'],
  ['a comment', ': wait\n\n'],
  ['an event that the caller received', 'id: 1\ndata: a\n\n'],
  ['an event without content', 'event: wait\n\n'],
] as const) {
  test(`forward() resumes elsewhere when only ${name} arrives from time to time`, async () => {
    const gateway = createGateway(async function* (clock) {
      yield 'id: 1\ndata: a\n\n';
      for (let round = 0; round < 1_000; round++) {
        await clock.sleep(300);
        yield filler;
      }
    });
    const sink = await gateway.request();
    assert.equal(sink.outcome, 'whole');
    assert.ok(sink.text.endsWith('id: 2\ndata: b\n\n'), sink.text);
    assert.equal(sink.text.match(/id: 1\n/g)?.length, 1);
    assert.equal(gateway.attempts[1]?.lastEventId, '1');
    assert.ok(gateway.clock.monotonic() < 5_000);
  });
}

test('forward() does not begin an answer with comments alone', async () => {
  const gateway = createGateway(async function* (clock) {
    for (let round = 0; round < 1_000; round++) {
      await clock.sleep(300);
      yield ': wait\n\n';
    }
  });
  const sink = await gateway.request();
  assert.equal(sink.text, 'id: 2\ndata: b\n\n');
});

test('forward() relays comments with the event that follows them', async () => {
  const gateway = createGateway(async function* () {
    yield ': hello\n\n';
    yield 'id: 1\ndata: a\n\n';
  });
  const sink = await gateway.request();
  assert.equal(sink.text, ': hello\n\nid: 1\ndata: a\n\n');
});

test('forward() resumes after the last id although a comment followed it', async () => {
  const gateway = createGateway(async function* () {
    yield 'id: 1\ndata: a\n\n: wait\n\n';
    throw new Error('reset');
  });
  const sink = await gateway.request();
  assert.equal(gateway.attempts[1]?.lastEventId, '1');
  assert.equal(sink.outcome, 'whole');
});

/** A gateway whose first attempt breaks off, and the next have no event left. */
function createEndedGateway({
  isDelimited = true,
  endpoints = ['e1', 'e2', 'e3'],
} = {}): FakeGateway {
  let attempts = 0;
  return new FakeGateway({
    route: ROUTE,
    endpoints: endpoints.map(id => createEndpoint(id)),
    behave: async (...attempt) => {
      const isFirst = attempts++ === 0;
      const outcome = createStream(attempt, async function* () {
        if (!isFirst) return;
        yield 'id: 1\ndata: a\n\n';
        throw new Error('reset');
      });
      if (outcome.type !== 'answer') return outcome;
      return {...outcome, answer: {...outcome.answer, isDelimited}};
    },
  });
}

// Guards against streams that are broken off although the caller has all events: their
// endpoint fell silent, or ended, after the last event and before the end.
test('forward() ends a resumed stream if two endpoints have no event left', async () => {
  const gateway = createEndedGateway();
  const sink = await gateway.request();
  assert.equal(gateway.attempts[1]?.lastEventId, '1');
  assert.equal(gateway.attempts.length, 3);
  assert.equal(sink.text, 'id: 1\ndata: a\n\n');
  assert.equal(sink.outcome, 'whole');
});

// Guards against streams that wait in vain for a second endpoint: the one that fell
// silent is ejected, although it speaks again.
test('forward() asks an ejected endpoint whether a stream has ended', async () => {
  const gateway: FakeGateway = new FakeGateway({
    route: ROUTE,
    endpoints: [createEndpoint('e1'), createEndpoint('e2')],
    behave: async (...attempt) =>
      createStream(attempt, async function* (clock) {
        const [, {endpoint, lastEventId, signal}] = attempt;
        if (lastEventId !== null) return;
        yield 'id: 1\ndata: a\n\n';
        if (endpoint.id === 'e1') await clock.sleep(SILENCE_MS, signal);
        signal.throwIfAborted();
      }),
  });
  const calls = Array.from({length: 20}, () => gateway.start());
  await gateway.clock.advance(CONFIRMED_MS);
  const outcomes = calls.map(({sink}) => sink.outcome);
  assert.ok(gateway.attempts.some(({lastEventId}) => lastEventId === '1'));
  assert.deepEqual(new Set(outcomes), new Set(['whole']));
});

// An endpoint that crashes may end a stream without a length this way.
test('forward() ends no resumed stream that may have broken off', async () => {
  const gateway = createEndedGateway({isDelimited: false});
  const sink = await gateway.request();
  assert.equal(sink.outcome, 'cut');
});

// A faulty endpoint may end any stream that it is to resume.
test('forward() ends no resumed stream since one endpoint has no event left', async () => {
  const gateway = createEndedGateway({endpoints: ['e1']});
  const sink = await gateway.request();
  assert.equal(sink.outcome, 'cut');
});

test('forward() abandons an event that does not end and resumes elsewhere', async () => {
  let sent = 0;
  const gateway = createGateway(async function* () {
    yield 'id: 1\ndata: a\n\n';
    for (;;) {
      sent++;
      yield 'x'.repeat(64 * 1024);
    }
  });
  const sink = await gateway.request();
  assert.equal(sink.text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  assert.ok(sent <= 20, `${sent} pieces of 64 KiB were read`);
});

// Guards against a gateway that hangs while it relays one stream: the number of a
// long id was read anew for each event after it.
test('forward() relays events after a long id in linear time', async () => {
  const event = 'id: 2\ndata: b\n\n';
  const growth = await measureGrowth(
    size => [
      `id: ${'1'.padStart(size, '0')}\n\n`,
      event.repeat(size / event.length),
    ],
    async pieces => {
      const gateway = createGateway(async function* () {
        yield* pieces;
      });
      const sink = await gateway.request();
      assert.equal(sink.text.length, pieces.join('').length);
    },
    {size: 32_000, rounds: 3},
  );
  assert.ok(growth < MAX_LINEAR_GROWTH, `the time grew ${growth} times`);
});

test.run();
