/**
 * Guards against prompt parts that are read again and requests that wait at the
 * holder of a popular one. The load: gateways that send prompts of shared chains and
 * of sessions to engines that evict the least recently used part.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {PromptPart} from '../forwarding/call.ts';
import {createAnswer} from '../forwarding/fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
  type Behaviour,
} from '../forwarding/forwarding_fakes.ts';

const GATEWAYS = 6;
const DATA_CENTRES = [...'aaaaaaaaaabbbbbb', ...Array<string>(6).fill('far')];
const SLOTS = 16;
const MEMORY_TOKENS = 90_000;
const MS_PER_TOKEN = 0.06;
const FIXED_MS = 16;
const DECODE_MS = 1_200;
const OBJECTIVE_MS = 3_000;
const SHARE_MS = 300;
const REQUESTS = 1_500;

/** An engine that prefills one prompt at a time. */
class FakeEngine {
  freeAt = 0;
  running = 0;
  private runningTokens = 0;
  /** The tokens of cached parts by prefix, the least recently used first. */
  private readonly cached = new Map<string, number>();

  /** Reads a prompt; returns the tokens that were not cached. */
  read(prompt: readonly PromptPart[]): number {
    let [key, isCached, uncached] = ['', true, 0];
    for (const {id, tokens} of prompt) {
      key += `/${id}`;
      const known = isCached ? (this.cached.get(key) ?? 0) : 0;
      isCached &&= known > 0;
      uncached += Math.max(0, tokens - known);
      this.cached.delete(key);
      this.cached.set(key, tokens);
    }
    return uncached;
  }

  /** Takes memory for a running request, and evicts what has no room. */
  run(tokens: number): void {
    this.running++;
    this.runningTokens += tokens;
    let left = MEMORY_TOKENS - this.runningTokens;
    for (const part of this.cached.values()) left -= part;
    for (const [key, part] of this.cached) {
      if (left >= 0) return;
      this.cached.delete(key);
      left += part;
    }
  }

  end(tokens: number): void {
    this.running--;
    this.runningTokens -= tokens;
  }
}

interface Played {
  /** The mean and the 95th percentile of the time to begin, in ms. */
  readonly mean: number;
  readonly late: number;
  /** The share of the tokens that was read. */
  readonly readShare: number;
  /** The share of the requests that left the region. */
  readonly farShare: number;
}

interface PlayOptions {
  readonly seed: number;
  /** The mean time between requests, in ms. */
  readonly intervalMs: number;
  /** Whether the gateways weigh cached prefixes. */
  readonly weighs: boolean;
}

/** Plays the load; a seed gives the same requests with and without weighing. */
async function play({seed, intervalMs, weighs}: PlayOptions): Promise<Played> {
  const clock = new SimulatedClock();
  const {next, between} = createDraws(seed);
  const engines = DATA_CENTRES.map(() => new FakeEngine());
  const times: number[] = [];
  let [readTokens, allTokens, far] = [0, 0, 0];
  const behave: Behaviour = async (call, options) => {
    const engine = engines[Number(options.endpoint.id.slice(1))]!;
    const {promptTokens, prompt} = call.facts;
    const now = clock.monotonic();
    const tokens = engine.read(prompt);
    readTokens += tokens;
    allTokens += promptTokens;
    if (options.endpoint.dataCentre === 'far') far++;
    engine.run(promptTokens);
    const begin = Math.max(now, engine.freeAt) + FIXED_MS;
    engine.freeAt = begin + tokens * MS_PER_TOKEN;
    // What has no slot waits for another request to end.
    const over = Math.max(0, engine.running - SLOTS);
    const queueMs = (over / SLOTS) * DECODE_MS;
    await clock.sleep(engine.freeAt - now + queueMs);
    times.push(clock.monotonic() - call.receivedAt);
    void clock.sleep(DECODE_MS).then(() => engine.end(promptTokens));
    return createAnswer(call, options, {
      isStream: true,
      pieces: ['id: 1\ndata: a\n\n'],
    });
  };
  const gateways = Array.from(
    {length: GATEWAYS},
    (_, index) =>
      new FakeGateway({
        route: createRoute({
          repeatability: 'stream',
          resumable: true,
          objectiveMs: OBJECTIVE_MS,
          timeoutMs: 30_000,
        }),
        engine: {
          slots: SLOTS,
          memoryTokens: MEMORY_TOKENS,
          tokensPerEvent: 5,
          models: [],
        },
        endpoints: DATA_CENTRES.map((dataCentre, place) =>
          createEndpoint(`e${place}`, {dataCentre, slots: SLOTS}),
        ),
        findRegion: dataCentre => (dataCentre === 'far' ? 'other' : 'r'),
        clock,
        address: `g${index}`,
        random: next,
        weighsCachedPrefixes: weighs,
        behave,
      }),
  );
  let sharedAt = 0;
  const shareLoads = () => {
    if (clock.monotonic() < sharedAt + SHARE_MS) return;
    sharedAt = clock.monotonic();
    const reports = gateways.map(gateway => gateway.createReport().loads);
    for (const [index, {view}] of gateways.entries()) {
      const others = reports.filter((_, each) => each !== index).flat();
      const loads = engines.map((_, place) => {
        const same = others.filter(load => load.id === `e${place}`);
        return {
          id: `e${place}`,
          open: same.reduce((sum, {open}) => sum + open, 0),
          readingMs: same.reduce((sum, {readingMs = 0}) => sum + readingMs, 0),
        };
      });
      view.apply(createFollowReply({complete: false, loads}));
    }
  };
  const requests = createDraws(seed + 1_000);
  const open: Array<Promise<void>> = [];
  for (let index = 0; index < REQUESTS; index++) {
    const facts = createPrompt(requests, index);
    const gateway = gateways[between(0, GATEWAYS - 1)]!;
    open.push(gateway.start(facts).done);
    await clock.advance(-Math.log(1 - requests.next()) * intervalMs);
    shareLoads();
  }
  await clock.advance(40_000);
  await Promise.all(open);
  times.sort((a, b) => a - b);
  return {
    mean: times.reduce((sum, ms) => sum + ms, 0) / times.length,
    late: times[Math.floor(times.length * 0.95)]!,
    readShare: readTokens / allTokens,
    farShare: far / times.length,
  };
}

/** Creates a prompt: of two shared parts, and its own or its session's one. */
function createPrompt(
  {next, between, log}: ReturnType<typeof createDraws>,
  index: number,
) {
  const product = Math.floor(log(1, 20));
  const document = Math.floor(log(1, 12));
  const isSession = next() < 0.3;
  const session = isSession ? `u${between(1, 80)}` : null;
  const prompt = [
    {id: `p${product}`, tokens: 2_500},
    {id: `d${product}-${document}`, tokens: 3_500},
    isSession
      ? {id: session!, tokens: 1_500 + index}
      : {id: `own${index}`, tokens: between(500, 2_500)},
  ];
  const promptTokens = prompt.reduce((sum, {tokens}) => sum + tokens, 0);
  return {session, prompt, promptTokens};
}

test('answers begin sooner under a high load, and fewer tokens are read', async () => {
  for (let seed = 1; seed <= 2; seed++) {
    const options = {seed, intervalMs: 30};
    const before = await play({...options, weighs: false});
    const weighed = await play({...options, weighs: true});
    const text = JSON.stringify({seed, before, weighed});
    assert.ok(weighed.mean < before.mean * 0.8, text);
    assert.ok(weighed.late < before.late * 0.6, text);
    assert.ok(weighed.readShare < before.readShare, text);
    assert.equal(weighed.farShare, 0, text);
  }
});

test('answers begin as soon under a low load, and little more is read', async () => {
  const seeds = [1, 2, 3];
  const mean = {before: 0, weighed: 0};
  const late = {before: 0, weighed: 0};
  const readShare = {before: 0, weighed: 0};
  for (const seed of seeds) {
    for (const name of ['before', 'weighed'] as const) {
      const weighs = name === 'weighed';
      const played = await play({seed, intervalMs: 60, weighs});
      mean[name] += played.mean / seeds.length;
      late[name] += played.late / seeds.length;
      readShare[name] += played.readShare / seeds.length;
    }
  }
  const text = JSON.stringify({mean, late, readShare});
  assert.ok(mean.weighed < mean.before * 1.05, text);
  assert.ok(late.weighed < late.before, text);
  assert.ok(readShare.weighed < readShare.before + 0.04, text);
});

test.run();
