/**
 * Guards against sessions that change engines, gateways that read a prefix at
 * different engines, and caches of another model or start.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import type {PromptPart} from '../forwarding/call.ts';
import {createAnswer, PLAIN_ANSWER} from '../forwarding/fake_answers.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  FakeGateway,
  type FakeRequest,
} from '../forwarding/forwarding_fakes.ts';

const ENGINE = {
  slots: 16,
  memoryTokens: 100_000,
  tokensPerEvent: 5,
  models: [],
};
const FIXED_MS = 16;
const MS_PER_TOKEN = 0.06;
const OWN: PromptPart = {id: 'own', tokens: 500};

function createEngines(count: number, dataCentre = 'a'): EndpointEntry[] {
  return Array.from({length: count}, (_, index) =>
    createEndpoint(`${dataCentre}${index}`, {dataCentre, slots: 16}),
  );
}

interface CreateOptions {
  readonly endpoints: readonly EndpointEntry[];
  /** Whether an endpoint refuses requests as full; none does by default. */
  readonly refuses?: (id: string) => boolean;
  readonly seed?: number;
}

function createGateway({
  endpoints,
  seed = 1,
  refuses = () => false,
}: CreateOptions) {
  const {next} = createDraws(seed);
  const cached = new Set<string>();
  return new FakeGateway({
    route: createRoute({
      repeatability: 'stream',
      objectiveMs: 4_000,
      timeoutMs: 20_000,
    }),
    engine: ENGINE,
    endpoints,
    random: next,
    weighsCachedPrefixes: true,
    findRegion: dataCentre => (dataCentre === 'far' ? 'other' : 'r'),
    behave: async (call, options, clock) => {
      if (refuses(options.endpoint.id)) {
        return {type: 'not-run', status: 503, facts: PLAIN_ANSWER};
      }
      let key = options.endpoint.id;
      let tokens = 0;
      for (const part of call.facts.prompt) {
        key += `/${part.id}`;
        if (!cached.has(key)) tokens += part.tokens;
        cached.add(key);
      }
      await clock.sleep(FIXED_MS + tokens * MS_PER_TOKEN);
      return createAnswer(call, options, {
        isStream: true,
        pieces: ['id: 1\ndata: a\n\n'],
      });
    },
  });
}

/** Sends a request and returns the id of the endpoint that got it. */
async function send(
  gateway: FakeGateway,
  prompt: readonly PromptPart[],
  facts: FakeRequest = {},
): Promise<string> {
  const promptTokens = prompt.reduce((sum, {tokens}) => sum + tokens, 0);
  await gateway.request({promptTokens, prompt, ...facts});
  return gateway.attempts.at(-1)!.endpoint.id;
}

function createShared(id: string, tokens = 20_000): PromptPart {
  return {id, tokens};
}

test('gateways agree on the engine of a prefix without messages', async () => {
  const endpoints = createEngines(12);
  for (let prefix = 0; prefix < 10; prefix++) {
    const chosen = new Set<string>();
    for (let seed = 1; seed <= 5; seed++) {
      const gateway = createGateway({endpoints, seed});
      chosen.add(await send(gateway, [createShared(`s${prefix}`), OWN]));
    }
    assert.equal(chosen.size, 1, [...chosen].join());
  }
});

test('prefixes are spread over the engines', async () => {
  const gateway = createGateway({endpoints: createEngines(12)});
  const chosen = new Set<string>();
  for (let prefix = 0; prefix < 40; prefix++) {
    chosen.add(await send(gateway, [createShared(`s${prefix}`), OWN]));
  }
  assert.ok(chosen.size >= 9, `${chosen.size} of 12`);
});

test('a request with a cached first part goes where that is', async () => {
  const endpoints = createEngines(12);
  const first = await send(createGateway({endpoints}), [
    createShared('s1'),
    OWN,
  ]);
  let same = 0;
  for (let index = 0; index < 20; index++) {
    const gateway = createGateway({endpoints, seed: index + 1});
    const small = {id: `d${index}`, tokens: 100};
    const chosen = await send(gateway, [createShared('s1'), small, OWN]);
    if (chosen === first) same++;
  }
  // The owner of the longer prefix may have the first part as well.
  assert.ok(same >= 6, `${same} of 20`);
});

test('a session returns to the engine that read its part', async () => {
  const gateway = createGateway({endpoints: createEngines(12)});
  for (let session = 0; session < 10; session++) {
    const facts = {session: `u${session}`};
    const chosen = new Set<string>();
    for (let round = 1; round <= 4; round++) {
      const part = {id: `part${session}`, tokens: 8_000 * round};
      chosen.add(await send(gateway, [createShared('s1', 200), part], facts));
      await gateway.clock.advance(1_000);
    }
    assert.equal(chosen.size, 1, `session ${session}: ${[...chosen].join()}`);
  }
});

test('a fresh session goes where the shared part is', async () => {
  const endpoints = createEngines(12);
  const gateway = createGateway({endpoints});
  const owner = await send(gateway, [createShared('s1'), OWN]);
  const part = {id: 'part1', tokens: 1_000};
  const chosen = await send(gateway, [createShared('s1'), part], {
    session: 'u1',
  });
  assert.equal(chosen, owner);
});

test('requests without a session do not share their own part', async () => {
  const gateway = createGateway({endpoints: createEngines(12)});
  const chosen = new Set<string>();
  for (let index = 0; index < 12; index++) {
    chosen.add(await send(gateway, [{id: 'own', tokens: 20_000}]));
  }
  assert.ok(chosen.size > 4, [...chosen].join());
});

test('a popular prefix has a second engine once its owner is full', async () => {
  const endpoints = createEngines(12);
  const second = new Set<string>();
  for (let seed = 1; seed <= 5; seed++) {
    const gateway = createGateway({endpoints, seed});
    const prompt = [createShared('s1'), OWN];
    let owner = '';
    for (let round = 0; round < 4; round++) {
      owner = await send(gateway, prompt);
    }
    const loads = [{id: owner, open: 60, readingMs: 20_000}];
    gateway.view.apply(createFollowReply({complete: false, loads}));
    const chosen = await send(gateway, prompt);
    assert.notEqual(chosen, owner);
    second.add(chosen);
  }
  assert.equal(second.size, 1, [...second].join());
});

test('a prefix stays where it was read when its owner had refused it', async () => {
  const endpoints = createEngines(12);
  const prompt = [createShared('s1'), OWN];
  const owner = await send(createGateway({endpoints}), prompt);
  for (let seed = 1; seed <= 10; seed++) {
    let isFull = true;
    const refuses = (id: string) => isFull && id === owner;
    const gateway = createGateway({endpoints, seed, refuses});
    const reader = await send(gateway, prompt);
    assert.notEqual(reader, owner);
    isFull = false;
    await gateway.clock.advance(1_000);
    assert.equal(await send(gateway, prompt), reader, `seed ${seed}`);
  }
});

test.run();
