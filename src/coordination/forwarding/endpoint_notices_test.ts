/**
 * Guards against requests to an endpoint that reported shutting down or
 * requested a back-off in an answer: by other requests open at that time, or
 * because a report of the core still calls it ready.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {test} from 'uvu';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {createAnswer, PLAIN_ANSWER} from './fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
  type Behaviour,
} from './forwarding_fakes.ts';

const TWO = [createEndpoint('e1'), createEndpoint('e2')];

/** Refuses a request and requests a back-off of `quietMs`. */
function refuseFor(quietMs: number): Behaviour {
  return async () => ({
    type: 'not-run',
    status: 503,
    facts: {...PLAIN_ANSWER, isNotRun: true, quietMs},
  });
}

const answers: Behaviour = async (call, options) => createAnswer(call, options);

const answersAndLeaves: Behaviour = async (call, options) =>
  createAnswer(call, options, {facts: {isLeaving: true}});

function listIds(gateway: FakeGateway): string[] {
  return gateway.attempts.map(({endpoint}) => endpoint.id);
}

function findHeader(
  headers: ReadonlyArray<readonly [string, string]>,
  name: string,
): number {
  return Number(headers.find(([key]) => key === name)?.[1]);
}

test('forward() sends no more requests to an endpoint that is shutting down', async () => {
  const gateway = new FakeGateway({
    endpoints: [createEndpoint('e1')],
    behave: answersAndLeaves,
  });
  const first = await gateway.request();
  assert.equal(first.status, 200);
  // A late report of the same start does not clear the notice.
  gateway.receiveReport(createEndpoint('e1', {sequence: 9}));
  const second = await gateway.request();
  assert.equal(second.status, 503);
  assert.deepEqual(listIds(gateway), ['e1']);
  assert.deepEqual(gateway.notices.listLeaving(), [{id: 'e1', startedAtMs: 1}]);
});

test('forward() uses an endpoint again after its restart', async () => {
  let isFirst = true;
  const gateway = new FakeGateway({
    endpoints: [createEndpoint('e1')],
    behave: async (...args) => {
      const behave = isFirst ? answersAndLeaves : answers;
      isFirst = false;
      return behave(...args);
    },
  });
  await gateway.request();
  gateway.receiveReport(createEndpoint('e1', {startedAtMs: 2}));
  const sink = await gateway.request();
  assert.equal(sink.status, 200);
  gateway.notices.pruneEnded(id => gateway.view.findEndpoint(id));
  assert.deepEqual(gateway.notices.listLeaving(), []);
});

test('forward() withdraws a request that was not written when the notice arrived', async () => {
  // The first answer arrives while the second request is still connecting.
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: async (call, options, clock) => {
      const isSlow = call.facts.attemptId === 'c1';
      if (isSlow && options.endpoint.id === 'e1') await clock.sleep(500);
      if (!options.mayBegin()) return {type: 'withdrawn'};
      return options.endpoint.id === 'e1'
        ? answersAndLeaves(call, options, clock)
        : answers(call, options, clock);
    },
    random: () => 0,
  });
  const [, second] = await Promise.all([gateway.request(), gateway.request()]);
  assert.equal(second.status, 200);
  const last = gateway.attempts.at(-1);
  assert.equal(last?.endpoint.id, 'e2');
});

test('forward() sends no requests to an endpoint during its back-off', async () => {
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: async (call, options, clock) =>
      options.endpoint.id === 'e1'
        ? refuseFor(2_000)(call, options, clock)
        : answers(call, options, clock),
    random: () => 0,
  });
  for (let count = 0; count < 10; count++) {
    const sink = await gateway.request();
    assert.equal(sink.status, 200);
  }
  assert.equal(listIds(gateway).filter(id => id === 'e1').length, 1);
  await gateway.clock.advance(2_000);
  await gateway.request();
  assert.equal(listIds(gateway).filter(id => id === 'e1').length, 2);
});

test('forward() refuses at once with Retry-After when all back-offs end too late', async () => {
  const gateway = new FakeGateway({
    endpoints: TWO,
    behave: async (call, options, clock) =>
      refuseFor(options.endpoint.id === 'e1' ? 3_000 : 5_000)(
        call,
        options,
        clock,
      ),
    random: () => 0,
  });
  await gateway.request();
  const startedAt = gateway.clock.monotonic();
  const sink = await gateway.request();
  assert.equal(sink.status, 503);
  assert.ok(gateway.clock.monotonic() - startedAt <= 10);
  const retryAfterS = findHeader(sink.headers, 'Retry-After');
  assert.ok(retryAfterS > 2.9 && retryAfterS <= 3, String(retryAfterS));
  assert.equal(gateway.attempts.length, 2);
});

test('forward() waits for a back-off that ends in time', async () => {
  let isFirst = true;
  const gateway = new FakeGateway({
    route: createRoute({objectiveMs: 2_000}),
    endpoints: [createEndpoint('e1')],
    behave: async (...args) => {
      const behave = isFirst ? refuseFor(300) : answers;
      isFirst = false;
      return behave(...args);
    },
    random: () => 0,
  });
  await gateway.request();
  const sink = await gateway.request();
  assert.equal(sink.status, 200);
  assert.ok(gateway.clock.monotonic() >= 300);
});

test('record() limits back-offs that are out of range', () => {
  for (const [asked, longestMs] of [
    [NaN, 1_000],
    [-5, 1_000],
    [1e12, 600_000],
    [Infinity, 600_000],
  ] as const) {
    const gateway = new FakeGateway({endpoints: TWO, behave: answers});
    const [endpoint] = TWO;
    assert.ok(endpoint);
    gateway.notices.record(endpoint, {isLeaving: false, quietMs: asked});
    assert.equal(gateway.notices.getBackoffMs(endpoint), longestMs);
  }
});

/** One event at a gateway with three endpoints. */
type ScenarioEvent =
  | {readonly type: 'request'; readonly delayMs: number}
  | {readonly type: 'leave' | 'restart' | 'repeat'; readonly id: string}
  | {readonly type: 'quiet'; readonly id: string; readonly ms: number}
  | {readonly type: 'wait'; readonly ms: number};

const IDS = ['e1', 'e2', 'e3'] as const;

const scenarioEvent: fc.Arbitrary<ScenarioEvent> = fc.oneof(
  fc.record({
    type: fc.constant('request' as const),
    delayMs: fc.integer({min: 0, max: 600}),
  }),
  fc.record({
    type: fc.constantFrom(
      'leave' as const,
      'restart' as const,
      'repeat' as const,
    ),
    id: fc.constantFrom(...IDS),
  }),
  fc.record({
    type: fc.constant('quiet' as const),
    id: fc.constantFrom(...IDS),
    ms: fc.integer({min: 0, max: 3_000}),
  }),
  fc.record({
    type: fc.constant('wait' as const),
    ms: fc.integer({min: 0, max: 1_000}),
  }),
);

/** Runs events and checks each request that reaches an endpoint. */
class Scenario {
  private readonly starts = new Map<string, EndpointEntry>(
    IDS.map(id => [id, createEndpoint(id)]),
  );
  private readonly leaving = new Set<string>();
  private readonly quietMs = new Map<string, number>();
  /** The notices that the gateway received, by start. */
  private readonly notified = new Map<
    string,
    {isLeaving: boolean; until: number}
  >();
  private readonly delays: number[] = [];
  private readonly open: Array<Promise<unknown>> = [];
  private readonly gateway = new FakeGateway({
    route: createRoute({objectiveMs: 2_000, timeoutMs: 8_000}),
    endpoints: [...this.starts.values()],
    behave: (...args) => this.behave(...args),
  });

  async run(events: readonly ScenarioEvent[]): Promise<void> {
    for (const each of events) await this.step(each);
    await Promise.all(this.open);
  }

  private async step(next: ScenarioEvent): Promise<void> {
    switch (next.type) {
      case 'request':
        this.delays.push(next.delayMs);
        this.open.push(this.gateway.request());
        return;
      case 'leave':
        this.leaving.add(this.findKey(next.id));
        return;
      case 'quiet':
        this.quietMs.set(this.findKey(next.id), next.ms);
        return;
      case 'restart': {
        const known = this.find(next.id);
        const startedAtMs = known.startedAtMs + 1;
        this.starts.set(next.id, {...known, startedAtMs});
        this.gateway.receiveReport(this.find(next.id));
        return;
      }
      case 'repeat':
        this.gateway.receiveReport({...this.find(next.id), sequence: 99});
        return;
      case 'wait':
        return this.gateway.clock.advance(next.ms);
    }
  }

  private behave: Behaviour = async (call, options, clock) => {
    // Opening the connection takes time.
    await clock.sleep(this.delays.pop() ?? 0);
    if (!options.mayBegin()) return {type: 'withdrawn'};
    const {endpoint} = options;
    const key = `${endpoint.id}/${endpoint.startedAtMs}`;
    const notified = this.notified.get(key);
    assert.ok(
      !notified?.isLeaving,
      'was sent to an endpoint that is shutting down',
    );
    assert.ok(
      (notified?.until ?? 0) <= clock.monotonic(),
      'was sent to an endpoint during its back-off',
    );
    const isLeaving = this.leaving.has(key);
    const quietMs = this.quietMs.get(key) ?? null;
    this.quietMs.delete(key);
    const until =
      quietMs === null ? (notified?.until ?? 0) : clock.monotonic() + quietMs;
    this.notified.set(key, {isLeaving, until});
    const facts = {...PLAIN_ANSWER, isLeaving, quietMs};
    return quietMs === null
      ? createAnswer(call, options, {facts: {isLeaving}})
      : {type: 'not-run', status: 503, facts};
  };

  private find(id: string): EndpointEntry {
    return this.starts.get(id) ?? createEndpoint(id);
  }

  private findKey(id: string): string {
    return `${id}/${this.find(id).startedAtMs}`;
  }
}

test('forward() obeys all notices in any order of answers, reports and restarts', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(scenarioEvent, {minLength: 5, maxLength: 40}),
      events => new Scenario().run(events),
    ),
    {numRuns: 60},
  );
});

test('apply() keeps an endpoint draining that a later report calls ready', async () => {
  const gateway = new FakeGateway({
    endpoints: [createEndpoint('e1', {state: 'draining'})],
    behave: answers,
  });
  gateway.view.apply(
    createFollowReply({endpoints: [createEndpoint('e1', {sequence: 5})]}),
  );
  assert.equal((await gateway.request()).status, 503);
});

test.run();
