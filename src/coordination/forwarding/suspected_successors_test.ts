/**
 * Tests that an answer with a suspected prompt leaves a dead endpoint, within the
 * bounds of the quarantine.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {SuspectRecord, TrialRequest} from '../../protocol/suspect.ts';
import {CoreSuspects} from '../quarantine/core_suspects.ts';
import type {TrialClient} from '../quarantine/trial_client.ts';
import type {AttemptOutcome} from './call.ts';
import {PLAIN_ANSWER, waitForAbort} from './fake_answers.ts';
import {createEndpoint, FakeGateway} from './forwarding_fakes.ts';
import {sendStream, STREAM_ROUTE, type FakeStream} from './stream_fakes.ts';

/** An answer that went on for a second would speak for its prompt. */
const SILENT_AFTER_MS = 400;

/** Within which a dead endpoint is left. */
const LEAVE_WITHIN_MS = 3_000;

const ROUTE = {...STREAM_ROUTE, maxAttempts: 8};

const PROMPT = ['bad', 'own'].map(id => ({id, tokens: 10}));

function createRecord(level: number, isCondemned = false): SuspectRecord {
  const crashes = Array.from({length: level}, (_, index) => ({
    start: `gone${index}/1`,
    ageMs: 100 * (level - index),
    exposureMs: 100,
    refutedAgeMs: null,
  }));
  return {
    service: 'app',
    kind: 'part',
    part: 'bad',
    customers: [],
    level,
    isCondemned,
    crashes,
    clearedAgeMs: null,
  };
}

/** Streams the rest of an answer, or only its first events. */
function sendPart({
  isDead,
  ...stream
}: Omit<FakeStream, 'silence'> & {isDead: boolean}): AttemptOutcome {
  const fromMs = stream.clock.monotonic() + SILENT_AFTER_MS;
  return sendStream({
    ...stream,
    ...(isDead && {silence: [fromMs, Infinity] as const}),
  });
}

/** Permits trials as a core daemon does, and counts those that are open. */
class FakeCore implements TrialClient {
  readonly suspects: CoreSuspects;
  readonly open = new Set<number>();
  granted = 0;

  constructor(clock: SimulatedClock) {
    this.suspects = new CoreSuspects({
      clock,
      logger: silentLogger,
      listStarts: () => IDS.map(id => `${id}/1`),
      onChange: () => {},
      onUrgent: () => {},
    });
  }

  async request(request: TrialRequest) {
    const reply = this.suspects.openTrial(request);
    if (reply.trial !== undefined) {
      this.open.add(reply.trial);
      this.granted++;
    }
    return reply;
  }

  async finish(result: Parameters<TrialClient['finish']>[0]) {
    if (result.trial !== undefined) this.open.delete(result.trial);
    this.suspects.finishTrial(result);
  }
}

const IDS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];

interface PlayOptions {
  readonly isDead: (place: number) => boolean;
  /** Which attempts get no answer at all; none by default. */
  readonly isMute?: (place: number) => boolean;
  /** Of the suspected part, when the request is sent; none by default. */
  readonly known?: SuspectRecord;
  /** The same, 0.3 s later. */
  readonly learned?: SuspectRecord;
  readonly trials?: TrialClient;
}

/** Plays one stream; one that is dead falls silent 0.4 s after it began. */
async function playStream({
  isDead,
  isMute = () => false,
  known,
  learned,
  trials,
}: PlayOptions) {
  const clock = new SimulatedClock();
  const core = new FakeCore(clock);
  const gateway: FakeGateway = new FakeGateway({
    clock,
    route: ROUTE,
    endpoints: IDS.map(id => createEndpoint(id)),
    trials: trials ?? core,
    behave: async (call, options) => {
      const place = gateway.attempts.indexOf(options);
      if (isMute(place)) {
        if (!options.mayBegin()) return {type: 'withdrawn'};
        await waitForAbort(options.signal).catch(() => {});
        return {type: 'aborted'};
      }
      return sendPart({call, options, clock, isDead: isDead(place)});
    },
  });
  if (known) gateway.quarantine.recordRelayed([known]);
  const {sink, done} = gateway.start({prompt: PROMPT});
  await clock.advance(300);
  if (learned) gateway.quarantine.recordRelayed([learned]);
  await clock.advance(LEAVE_WITHIN_MS);
  const {length: soon} = gateway.attempts;
  await clock.advance(30_000);
  await done;
  await clock.advance(5_000);
  return {outcome: sink.outcome, soon, gateway, core};
}

// Guards against an answer that stays at a dead endpoint until its deadline, since
// its prompt became a suspect after it had begun.
test('reserve() lets an answer with a new suspect leave a dead endpoint', async () => {
  const {outcome, soon, gateway, core} = await playStream({
    isDead: place => place === 0,
    learned: createRecord(2),
  });
  assert.deepEqual([outcome, soon], ['whole', 2]);
  assert.equal(gateway.attempts.length, 2);
  assert.equal(core.granted, 1);
  assert.equal(core.open.size, 0);
});

// The same, for an answer that is itself on trial.
test('reserve() lets an answer on trial leave a dead endpoint', async () => {
  const {outcome, soon, core} = await playStream({
    isDead: place => place === 0,
    known: createRecord(1),
  });
  assert.deepEqual([outcome, soon], ['whole', 2]);
  assert.equal(core.granted, 2);
  assert.equal(core.open.size, 0);
});

// Guards against a prompt that silences one endpoint after the other: a trial that
// falls silent counts as one that ends its endpoint, until that gives a sign of life.
test('reserve() takes a prompt that silences endpoints to few of them', async () => {
  const {gateway, core} = await playStream({
    isDead: () => true,
    known: createRecord(1),
  });
  assert.ok(gateway.attempts.length >= 2);
  assert.ok(gateway.attempts.length <= 3, `${gateway.attempts.length}`);
  assert.equal(core.open.size, 0);
});

// Guards against a prompt that is condemned for an endpoint that was dead before it
// came: its answer was kept there.
test('reserve() blames no trial for an endpoint that never spoke', async () => {
  const {outcome, gateway, core} = await playStream({
    isDead: place => place === 0,
    isMute: place => place === 1,
    learned: createRecord(2),
  });
  assert.deepEqual([outcome, gateway.attempts.length], ['whole', 3]);
  assert.equal(core.granted, 2);
  assert.equal(core.open.size, 0);
});

test('reserve() leaves a condemned prompt where it is', async () => {
  const {gateway, core} = await playStream({
    isDead: place => place === 0,
    learned: createRecord(3, true),
  });
  assert.equal(gateway.attempts.length, 1);
  assert.equal(core.granted, 0);
});

test('reserve() keeps a suspected prompt while another trial runs', async () => {
  let requests = 0;
  const {gateway} = await playStream({
    isDead: place => place === 0,
    learned: createRecord(2),
    trials: {
      async request() {
        requests++;
        return {isGranted: false, suspects: []};
      },
      async finish() {},
    },
  });
  assert.equal(gateway.attempts.length, 1);
  // For 24 s; the core is not to be asked at each look for a successor.
  assert.ok(requests > 10 && requests < 160, `${requests} requests`);
});

test('reserve() gives a permission back if the endpoint goes on', async () => {
  const clock = new SimulatedClock();
  const core = new FakeCore(clock);
  const gateway: FakeGateway = new FakeGateway({
    clock,
    route: ROUTE,
    endpoints: IDS.map(id => createEndpoint(id)),
    trials: {
      async request(request) {
        // Arrives after the endpoint went on.
        await clock.sleep(200);
        return core.request(request);
      },
      finish: result => core.finish(result),
    },
    behave: async (call, options) => {
      return sendStream({call, options, clock, silence: [400, 2_500]});
    },
  });
  const {sink, done} = gateway.start({prompt: PROMPT});
  await clock.advance(300);
  gateway.quarantine.recordRelayed([createRecord(2)]);
  await clock.advance(30_000);
  await done;
  assert.equal(sink.outcome, 'whole');
  assert.equal(gateway.attempts.length, 1);
  assert.ok(core.granted > 0);
  assert.equal(core.open.size, 0);
});

// Guards against an answer that is broken off at once, since its successor refuses it
// and its prompt has become a suspect meanwhile.
test('reserveAgain() asks for a trial of an answer that was given up', async () => {
  const clock = new SimulatedClock();
  const core = new FakeCore(clock);
  const gateway: FakeGateway = new FakeGateway({
    clock,
    route: ROUTE,
    endpoints: IDS.map(id => createEndpoint(id)),
    trials: core,
    behave: async (call, options) => {
      const place = gateway.attempts.indexOf(options);
      if (place !== 1) {
        return sendPart({call, options, clock, isDead: place === 0});
      }
      gateway.quarantine.recordRelayed([createRecord(2)]);
      const facts = {...PLAIN_ANSWER, isNotRun: true};
      return {type: 'not-run', status: 503, facts};
    },
  });
  const {sink, done} = gateway.start({prompt: PROMPT});
  await clock.advance(30_000);
  await done;
  assert.deepEqual([sink.outcome, gateway.attempts.length], ['whole', 3]);
  assert.equal(core.granted, 1);
  assert.equal(core.open.size, 0);
});

test.run();
