/**
 * Guards against requests that are lost, run twice or refused untruthfully on their
 * way through another gateway.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger, type LogFields} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import type {AttemptOutcome} from '../forwarding/call.ts';
import {createCall} from '../forwarding/call_fakes.ts';
import {PLAIN_ANSWER, waitForAbort} from '../forwarding/fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
  type FakeGatewayOptions,
} from '../forwarding/forwarding_fakes.ts';
import {RecordingSink} from '../forwarding/recording_sink_fake.ts';
import type {RelayOptions} from './call_relay.ts';

const NEAR = {address: 'near', region: 'r', dataCentre: 'a', open: true};
const FAR = {address: 'far', region: 'other', dataCentre: 'b', open: true};
const SELF = {address: 'g', region: 'r', dataCentre: 'a', open: true};

interface CutOptions extends Pick<FakeGatewayOptions, 'logger' | 'metrics'> {
  readonly gateways?: readonly (typeof SELF)[];
  readonly repeatability?: 'idempotent' | 'not-repeatable';
  readonly answer: (options: RelayOptions) => Promise<AttemptOutcome>;
}

/** Creates a gateway that reaches no endpoint. */
function createCutGateway({
  gateways = [SELF, NEAR, FAR],
  repeatability = 'idempotent',
  answer,
  ...rest
}: CutOptions) {
  const relayed: RelayOptions[] = [];
  const gateway = new FakeGateway({
    route: createRoute({repeatability, maxAttempts: 3}),
    endpoints: [createEndpoint('e1')],
    behave: async () => ({type: 'not-sent', reason: 'ECONNREFUSED'}),
    probe: async () => false,
    sendRelayed: (_call, options) => {
      relayed.push(options);
      return answer(options);
    },
    ...rest,
  });
  gateway.view.apply(
    createFollowReply({complete: false, openGateways: [...gateways]}),
  );
  return {gateway, relayed};
}

function createWhole(
  pieces: readonly string[],
  {breaks = false} = {},
): AttemptOutcome {
  async function* readBody() {
    for (const piece of pieces) yield Buffer.from(piece);
    if (breaks) throw new Error('reset');
  }
  return {
    type: 'answer',
    answer: {
      status: 200,
      headers: [['X-Header', 'value']],
      facts: PLAIN_ANSWER,
      isDelimited: true,
      body: readBody(),
      cancel: () => {},
    },
  };
}

const REFUSED: AttemptOutcome = {
  type: 'not-run',
  status: 503,
  facts: {...PLAIN_ANSWER, isNotRun: true},
};

test('send() returns the answer of a near gateway as it is', async () => {
  const {gateway, relayed} = createCutGateway({
    answer: async () => createWhole(['one ', 'two']),
  });
  // Shows that the path is lost.
  await gateway.request();
  relayed.length = 0;
  const sink = await gateway.request();
  assert.equal(sink.text, 'one two');
  assert.equal(sink.outcome, 'whole');
  assert.deepEqual(sink.headers, [['X-Header', 'value']]);
  assert.deepEqual(
    relayed.map(({address, runs}) => ({address, runs})),
    [{address: 'near', runs: 0}],
  );
});

test('send() asks the next gateway when one has no path, and avoids it then', async () => {
  const {gateway, relayed} = createCutGateway({
    answer: async ({address}) =>
      address === 'near' ? REFUSED : createWhole(['far']),
  });
  // Shows that the path is lost.
  await gateway.request();
  relayed.length = 0;
  assert.equal((await gateway.request()).text, 'far');
  assert.equal((await gateway.request()).text, 'far');
  const asked = relayed.map(({address}) => address);
  assert.equal(asked.filter(address => address === 'near').length, 0);
});

// Guards against a gateway that is handed more time than is left, after others.
test('send() hands on what is left of the time', async () => {
  const {gateway, relayed} = createCutGateway({
    answer: async ({address}) => {
      await gateway.clock.sleep(200);
      return address === 'near' ? REFUSED : createWhole(['far']);
    },
  });
  await gateway.request();
  const [first, second] = relayed.map(({budgetMs}) => budgetMs);
  assert.ok(first !== undefined && second !== undefined);
  assert.ok(second <= first - 200, `${first} and ${second} ms`);
});

// Guards against a second run: what broke off between gateways may have run.
for (const repeatability of ['idempotent', 'not-repeatable'] as const) {
  test(`send() does not repeat what broke off on its way (${repeatability})`, async () => {
    const {gateway, relayed} = createCutGateway({
      repeatability,
      answer: async () => ({type: 'broken', reason: 'closed'}),
    });
    // Shows that the path is lost.
    await gateway.request();
    relayed.length = 0;
    const sink = await gateway.request();
    assert.equal(sink.status, 502);
    assert.equal(relayed.length, 1);
  });
}

test('send() cuts an answer that breaks off', async () => {
  const {gateway} = createCutGateway({
    answer: async () => createWhole(['half'], {breaks: true}),
  });
  // Shows that the path is lost.
  await gateway.request();
  const sink = await gateway.request();
  assert.equal(sink.outcome, 'cut');
});

test('send() ends with its caller, and at the deadline', async () => {
  const {gateway, relayed} = createCutGateway({
    answer: async ({signal}) => {
      await waitForAbort(signal).catch(() => {});
      return {type: 'aborted'};
    },
  });
  const first = gateway.start();
  await gateway.clock.advance(60_000);
  await first.done;
  assert.equal(first.sink.status, 504);
  const left = new AbortController();
  const second = gateway.start({}, left.signal);
  await gateway.clock.advance(100);
  left.abort('left');
  await gateway.clock.advance(10);
  await second.done;
  assert.equal(second.sink.hasBegun, false);
  assert.ok(relayed.every(({signal}) => signal.aborted));
});

// Guards against requests that go from one gateway without a path to the next.
test('a relayed request is refused at once where the path is lost', async () => {
  const {gateway, relayed} = createCutGateway({answer: async () => REFUSED});
  // Shows that the path is lost.
  await gateway.request();
  relayed.length = 0;
  const attempts = gateway.attempts.length;
  for (const runs of [0, 1]) {
    const sink = new RecordingSink();
    const call = createCall(`r${runs}`, {
      receivedAt: gateway.clock.monotonic(),
    });
    await gateway.forwarder.forward({...call, relayed: {runs}}, sink);
    // One that may have run is not said to be not run.
    assert.equal(sink.status, runs === 0 ? 503 : 502);
  }
  assert.equal(relayed.length, 0);
  assert.equal(gateway.attempts.length, attempts);
});

// Guards against answers of which no line says which gateway they broke off at.
test('send() says why it cuts a relayed answer', async () => {
  const lines: LogFields[] = [];
  const counted: string[] = [];
  const observers = {
    logger: {
      ...silentLogger,
      warn: (message: string, fields: LogFields = {}) => {
        if (/Breaks off/.test(message)) lines.push(fields);
      },
    },
    metrics: {
      ...silentMetrics,
      count: (name: string, _value = 1, tags = {}) => {
        if (name === 'broken_off') counted.push(JSON.stringify(tags));
      },
    },
  };
  const {gateway} = createCutGateway({
    ...observers,
    gateways: [SELF, NEAR],
    answer: async () => createWhole(['half'], {breaks: true}),
  });
  assert.equal((await gateway.request()).outcome, 'cut');
  const stopping = createCutGateway({
    ...observers,
    gateways: [SELF, NEAR],
    answer: async ({signal}) => {
      const outcome = createWhole([]);
      if (outcome.type !== 'answer') return outcome;
      async function* readBody() {
        yield Buffer.from('half');
        await waitForAbort(signal);
      }
      return {...outcome, answer: {...outcome.answer, body: readBody()}};
    },
  });
  const {sink, done} = stopping.gateway.start();
  await stopping.gateway.clock.advance(1_000);
  stopping.gateway.forwarder.shutdown.abort();
  await done;
  assert.equal(sink.outcome, 'cut');
  assert.deepEqual(counted, [
    '{"reason":"not-resumable"}',
    '{"reason":"stopping"}',
  ]);
  assert.deepEqual(
    lines.map(({reason, gateway}) => [reason, gateway]),
    [
      ['not-resumable', 'near'],
      ['stopping', 'near'],
    ],
  );
});

// Guards against gateways that ask each other for each request while the endpoints of
// a service are down.
test('while no gateway has a path few are asked', async () => {
  const others = Array.from({length: 100}, (_, index) => ({
    ...NEAR,
    address: `g${index}`,
    dataCentre: `dc${index % 8}`,
  }));
  const {gateway, relayed} = createCutGateway({
    gateways: [SELF, ...others],
    answer: async () => REFUSED,
  });
  await gateway.request();
  relayed.length = 0;
  for (let count = 0; count < 300; count++) {
    const {done} = gateway.start();
    await gateway.clock.advance(10);
    await done;
  }
  assert.ok(relayed.length <= 48, `${relayed.length} in 3 s`);
});

test('without another gateway requests are refused as not run', async () => {
  const {gateway, relayed} = createCutGateway({
    gateways: [SELF],
    answer: async () => REFUSED,
  });
  // Shows that the path is lost.
  await gateway.request();
  const sink = await gateway.request();
  assert.equal(sink.status, 503);
  assert.equal(relayed.length, 0);
});

test.run();
