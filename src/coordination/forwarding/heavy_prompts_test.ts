/**
 * Guards against short prompts delayed by the prefill of long ones, and against
 * a shared prefix prefilled again at another engine. Engines prefill one prompt
 * after the other.
 */
import assert from 'node:assert/strict';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import type {Engine} from '../../protocol/route_table.ts';
import type {AttemptOptions, Call, CallFacts} from './call.ts';
import {createAnswer} from './fake_answers.ts';
import {createEndpoint, createRoute, FakeGateway} from './forwarding_fakes.ts';
import type {RecordingSink} from './recording_sink_fake.ts';

const OBJECTIVE_MS = 4_000;

const ROUTE = createRoute({
  repeatability: 'stream',
  resumable: true,
  objectiveMs: OBJECTIVE_MS,
  timeoutMs: 20_000,
  maxAttempts: 3,
  models: ['small', 'large'],
});

const ENGINE: Engine = {
  slots: 64,
  memoryTokens: 500_000,
  tokensPerEvent: 3,
  models: [],
};

/** The prefill rate of each model, in ms per token. */
const MS_PER_TOKEN: Readonly<Record<string, number>> = {
  small: 0.006,
  large: 0.06,
};

const SHORT = {promptTokens: 1_000};
const LONG = {promptTokens: 20_000};

/** Engines that prefill one prompt after the other and cache prefixes. */
class FakeEngines {
  readonly gateway: FakeGateway;
  /** Tokens of shared prefixes that another engine had already prefilled. */
  recomputedTokens = 0;
  /** The endpoints that a request was sent to, by its id. */
  readonly path = new Map<string, string[]>();
  private readonly freeAt = new Map<string, number>();
  private readonly cached = new Set<string>();
  private readonly everPrefilled = new Set<string>();

  constructor(count: number, random?: () => number) {
    this.gateway = new FakeGateway({
      route: ROUTE,
      engine: ENGINE,
      endpoints: Array.from({length: count}, (_, place) =>
        createEndpoint(`e${place}`, {slots: 64}),
      ),
      ...(random ? {random} : {}),
      behave: (call, options) => this.answer(call, options),
    });
  }

  private async answer(call: Call, options: AttemptOptions) {
    const {clock} = this.gateway;
    const {endpoint, model} = options;
    const id = call.facts.attemptId ?? '';
    this.path.set(id, [...(this.path.get(id) ?? []), endpoint.id]);
    const now = clock.monotonic();
    const begin = Math.max(now, this.freeAt.get(endpoint.id) ?? 0);
    const end =
      begin + 16 + this.prefill(call, options) * MS_PER_TOKEN[model ?? '']!;
    this.freeAt.set(endpoint.id, end);
    await clock.sleep(end - now);
    // Every second answer of the smallest model has low confidence.
    const confidence = Number(id.slice(1)) % 2 === 0 ? 90 : 5;
    return createAnswer(call, options, {
      isStream: true,
      pieces: [`id: 1\ndata: ${model}\n\n`],
      facts: {confidence: model === 'large' ? 95 : confidence},
    });
  }

  /** Prefills a prompt and returns its uncached tokens. */
  private prefill({facts}: Call, {endpoint, model}: AttemptOptions): number {
    const [shared] = facts.prompt.slice(0, -1);
    if (!shared) return facts.promptTokens;
    const key = `${model}/${shared.id}`;
    const place = `${endpoint.id}/${key}`;
    if (this.cached.has(place)) return facts.promptTokens - shared.tokens;
    if (this.everPrefilled.has(key)) this.recomputedTokens += shared.tokens;
    this.cached.add(place);
    this.everPrefilled.add(key);
    return facts.promptTokens;
  }
}

interface Sent {
  readonly sink: RecordingSink;
  readonly done: Promise<void>;
}

function send({gateway}: FakeEngines, facts: Partial<CallFacts>): Sent {
  return gateway.start({model: '*', isModelOpen: true, ...facts});
}

function createPrompt(prefix: number, ownTokens: number): Partial<CallFacts> {
  return {
    promptTokens: 13_000 + ownTokens,
    prompt: [
      {id: `s${prefix}`, tokens: 13_000},
      {id: 'own', tokens: ownTokens},
    ],
  };
}

/** Sends requests until the gateway has estimated the prefill rates. */
async function warmUpRates(engines: FakeEngines): Promise<void> {
  for (let round = 0; round < 6; round++) {
    for (const facts of [SHORT, LONG]) {
      const {done} = send(engines, facts);
      await engines.gateway.clock.advance(4_000);
      await done;
    }
  }
}

test('short prompts avoid the engine that prefills a long one', async () => {
  const engines = new FakeEngines(3);
  await warmUpRates(engines);
  engines.path.clear();
  // One odd and one even request, so that one of the two escalates.
  const long = [send(engines, LONG), send(engines, LONG)];
  await engines.gateway.clock.advance(300);
  const busy = [...engines.path.values()].map(path => path[1]).find(Boolean);
  assert.ok(busy, 'no long prompt was sent to the largest model');
  engines.path.clear();
  const short = Array.from({length: 12}, () => send(engines, SHORT));
  await engines.gateway.clock.advance(0);
  const firsts = [...engines.path.values()].map(([first]) => first);
  assert.equal(firsts.length, 12);
  assert.ok(!firsts.includes(busy), `${firsts} although ${busy} has a backlog`);
  await engines.gateway.clock.advance(20_000);
  await Promise.all([...long, ...short].map(({done}) => done));
});

test('prompts with a shared prefix go to the engine that has it cached', async () => {
  const engines = new FakeEngines(8);
  await warmUpRates(engines);
  for (let round = 0; round < 40; round++) {
    const {done} = send(engines, createPrompt(round % 4, 2_000));
    await engines.gateway.clock.advance(2_500);
    await done;
  }
  assert.equal(engines.recomputedTokens, 0);
});

test('a prompt that the largest model cannot begin in time is not escalated', async () => {
  const engines = new FakeEngines(3);
  await warmUpRates(engines);
  engines.path.clear();
  for (let round = 0; round < 4; round++) {
    const {sink, done} = send(engines, {promptTokens: 60_000});
    await engines.gateway.clock.advance(6_000);
    await done;
    assert.match(sink.text, /small/);
  }
  const attempts = [...engines.path.values()].map(path => path.length);
  assert.deepEqual(attempts, [1, 1, 1, 1]);
});

test('answers are in time under a mixed load of long and short prompts', async () => {
  for (let seed = 1; seed <= 5; seed++) {
    const generator = xoroshiro128plus(seed);
    const random = () => uniformFloat64(generator);
    const engines = new FakeEngines(6, random);
    await warmUpRates(engines);
    let answered = 0;
    let late = 0;
    const sent: Array<Promise<void>> = [];
    const {clock} = engines.gateway;
    for (let request = 0; request < 300; request++) {
      const isLong = random() < 0.4;
      const facts = isLong
        ? createPrompt(Math.floor(random() * 20), 1_000 + random() * 6_000)
        : SHORT;
      const begunAt = clock.monotonic();
      const {sink, done} = send(engines, facts);
      sent.push(
        done.then(() => {
          answered++;
          const tookMs = clock.monotonic() - begunAt;
          if (sink.outcome !== 'whole' || tookMs > OBJECTIVE_MS) late++;
        }),
      );
      // 10 requests per second take 40% of the engines' time.
      await clock.advance(-Math.log(1 - random()) * 100);
    }
    await clock.advance(20_000);
    await Promise.all(sent);
    assert.equal(answered, 300);
    assert.ok(late <= 15, `${late} of 300 late with seed ${seed}`);
  }
});

test.run();
