/**
 * Guards against overloads in which rank and customer do not decide who is served,
 * and against refusals while there is room. All loads are simulated without a
 * network: a plain service of 18 slots whose work takes 30 to 43 ms, which serves
 * about 490 requests per second, and engines that work on one prompt after the other.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Engine} from '../../protocol/route_table.ts';
import {
  OverloadedService,
  type OverloadedServiceOptions,
  type Stream,
  type StreamCounts,
} from './overload_fake.ts';

/** Ranks 0, 1 and 2, with four customers each. */
const CUSTOMERS = Array.from({length: 12}, (_, index) => ({
  name: `c${index}`,
  keys: [`c${index}`],
  priority: Math.floor(index / 4),
}));

const OBJECTIVE_MS = 300;
const TIMEOUT_MS = 800;

function createService(
  seed: number,
  change: Partial<OverloadedServiceOptions> = {},
): OverloadedService {
  return new OverloadedService({
    seed,
    gateways: 6,
    endpoints: 3,
    slots: 6,
    maxWaiting: 6,
    drawWorkMs: (_call, draw) => 30 + 13 * draw,
    route: {objectiveMs: OBJECTIVE_MS, timeoutMs: TIMEOUT_MS},
    customers: CUSTOMERS,
    ...change,
  });
}

interface StreamChange {
  /** Factor on the load of a customer; 1 by default. */
  readonly factor?: (index: number) => number;
  readonly repeats?: (index: number) => Stream['repeats'];
}

/** Streams of all customers that ask for a part of what the service can do. */
function createStreams(
  share: number,
  {factor = () => 1, repeats = () => undefined}: StreamChange = {},
): Stream[] {
  return CUSTOMERS.map(({name}, index) => {
    const repeat = repeats(index);
    return {
      name,
      key: name,
      perSecond: () => ((490 * share) / CUSTOMERS.length) * factor(index),
      ...(repeat && {repeats: repeat}),
    };
  });
}

/** The share of the requests of some customers that were served in time. */
function computeServed(
  counts: ReadonlyMap<string, StreamCounts>,
  matches: (index: number) => boolean = () => true,
): number {
  let asked = 0;
  let served = 0;
  for (const [index, {name}] of CUSTOMERS.entries()) {
    const each = counts.get(name);
    if (!each || !matches(index)) continue;
    asked += each.asked;
    served += each.served - each.late;
  }
  return served / asked;
}

const isRank = (rank: number) => (index: number) =>
  CUSTOMERS[index]?.priority === rank;

/** The bounds that hold under every load. */
function assertFair(counts: ReadonlyMap<string, StreamCounts>): void {
  const all = computeServed(counts);
  const ranks = [0, 1, 2].map(rank => computeServed(counts, isRank(rank)));
  for (const [rank, served] of ranks.entries()) {
    const urgent = Math.min(...ranks.slice(0, rank + 1));
    assert.ok(served <= urgent + 0.05, `ranks served: ${ranks.join(', ')}`);
    assert.ok(served >= all / 4, `rank ${rank}: ${served} of ${all}`);
  }
  for (const index of CUSTOMERS.keys()) {
    const served = computeServed(counts, each => each === index);
    assert.ok(served >= all / 4, `customer ${index}: ${served} of ${all}`);
  }
}

for (const seed of [1, 2]) {
  test(`nothing waits or is refused in calm conditions, seed ${seed}`, async () => {
    let waits = 0;
    const service = createService(seed, {
      metrics: {
        count: name => void (name === 'admissions' && waits++),
        gauge: () => {},
        record: () => {},
      },
    });
    await service.run(createStreams(0.4), 4_000);
    const counts = service.takeCounts();
    assert.equal(waits, 0);
    for (const {refused, left} of counts.values()) {
      assert.equal(refused + left, 0);
    }
  });

  test(`ranks go first under 1.5 times the capacity, seed ${seed}`, async () => {
    const service = createService(seed);
    await service.run(createStreams(0.5), 2_000);
    await service.run(createStreams(1.5), 1_000);
    service.takeCounts();
    service.measureUse();
    await service.run(createStreams(1.5), 4_000);
    const counts = service.takeCounts();
    assertFair(counts);
    const urgent = computeServed(counts, isRank(0));
    assert.ok(urgent >= 0.85, `most urgent served: ${urgent}`);
    const use = service.measureUse();
    assert.ok(use >= 0.85, `slots in use: ${use}`);
  });

  test(`a customer at 8 times its load takes nothing from its rank, seed ${seed}`, async () => {
    // All customers have one rank, whose demand alone exceeds the capacity.
    const service = createService(seed, {
      customers: CUSTOMERS.map(each => ({...each, priority: 1})),
    });
    await service.run(createStreams(0.75), 4_000);
    const surge = createStreams(0.75, {
      factor: index => (index === 1 ? 8 : 1),
    });
    // The first second shows the surge to the gateways.
    await service.run(surge, 1_000);
    service.takeCounts();
    await service.run(surge, 4_000);
    const counts = service.takeCounts();
    const all = computeServed(counts);
    const surging = computeServed(counts, index => index === 1);
    const others = computeServed(counts, index => index !== 1);
    assert.ok(others >= 0.85, `others: ${others}`);
    assert.ok(surging <= others - 0.1, `surging: ${surging} of ${others}`);
    assert.ok(surging >= all / 4, `surging: ${surging} of ${all}`);
  });

  test(`a burst of the least urgent kind delays no other, seed ${seed}`, async () => {
    const service = createService(seed);
    await service.run(createStreams(0.5), 3_000);
    const burst = createStreams(0.5, {
      factor: index => (isRank(2)(index) ? 8 : 1),
    });
    await service.run(burst, 1_000);
    service.takeCounts();
    await service.run(burst, 4_000);
    const counts = service.takeCounts();
    assertFair(counts);
    const urgent = computeServed(counts, isRank(0));
    assert.ok(urgent >= 0.85, `most urgent served: ${urgent}`);
  });

  test(`ranks go first after half of the endpoints are gone, seed ${seed}`, async () => {
    const service = createService(seed, {endpoints: 4});
    await service.run(createStreams(0.8), 2_000);
    service.end(2);
    await service.run(createStreams(0.8), 2_000);
    service.takeCounts();
    await service.run(createStreams(0.8), 4_000);
    const counts = service.takeCounts();
    assertFair(counts);
  });

  test(`a customer that repeats at once gains nothing, seed ${seed}`, async () => {
    const service = createService(seed);
    // With room, so that gateways learn what customers usually send.
    await service.run(createStreams(0.4), 4_000);
    const streams = createStreams(1.5, {
      repeats: index => (index === 9 ? 'at-once' : 'told'),
    });
    await service.run(streams, 1_000);
    service.takeCounts();
    await service.run(streams, 5_000);
    const counts = service.takeCounts();
    // In the end, as many of its callers are served as of others in its rank.
    const measure = (name: string) => {
      const {servedCallers, callers} = counts.get(name)!;
      return servedCallers / callers;
    };
    const others = ['c8', 'c10', 'c11'].map(measure);
    const mean = others.reduce((sum, each) => sum + each, 0) / others.length;
    const repeating = measure('c9');
    assert.ok(
      repeating <= mean + 0.05,
      `callers served: ${repeating} of it, ${mean} of others`,
    );
  });
}

test('callers are asked to return within a third of their time, spread', async () => {
  const service = createService(3);
  await service.run(createStreams(2), 3_000);
  const {returns} = service;
  assert.ok(returns.length > 200, `${returns.length} refusals`);
  const planned = returns.filter(({atMs}) => atMs > 1_000);
  const times = planned.map(({afterMs}) => afterMs);
  assert.ok(Math.max(...times) <= TIMEOUT_MS / 3, `${Math.max(...times)} ms`);
  // No window of 20 ms collects the callers of a whole second.
  const moments = planned.map(({atMs, afterMs}) =>
    Math.floor((atMs + afterMs) / 20),
  );
  const counts = new Map<number, number>();
  for (const each of moments) counts.set(each, (counts.get(each) ?? 0) + 1);
  const mean = moments.length / counts.size;
  assert.ok(Math.max(...counts.values()) <= 4 * mean);
});

const ENGINE: Engine = {
  slots: 32,
  memoryTokens: 500_000,
  tokensPerEvent: 3,
  models: [],
};

test('large prompts and rare subjects are served as often under overload', async () => {
  // Three engines read 10 tokens per ms each. The load is 1.5 times that.
  const service = createService(1, {
    slots: 32,
    maxWaiting: 8,
    isSerial: true,
    engine: ENGINE,
    route: {objectiveMs: 2_000, timeoutMs: 8_000, models: ['small']},
    drawWorkMs: ({facts}) => facts.promptTokens / 10 / 10,
  });
  const kinds = [
    {tokens: 1_500, subject: 'common', perSecond: 60},
    {tokens: 9_190, subject: 'common', perSecond: 30},
    {tokens: 9_190, subject: 'rare', perSecond: 3},
    {tokens: 30_000, subject: 'common', perSecond: 3},
  ];
  const streams = kinds.map(({tokens, subject, perSecond}, index): Stream => {
    const shared = Math.min(6_300, tokens - 500);
    return {
      name: String(index),
      key: `c${4 + index}`,
      perSecond: () => perSecond,
      facts: {
        model: '*',
        isModelOpen: true,
        promptTokens: tokens,
        prompt: [
          {id: `${subject}${tokens}`, tokens: shared},
          {id: 'own', tokens: tokens - shared},
        ],
      },
    };
  });
  await service.run(streams, 4_000);
  service.takeCounts();
  await service.run(streams, 20_000);
  const counts = [...service.takeCounts()];
  const total = counts.reduce((sum, [, {asked}]) => sum + asked, 0);
  const done = counts.reduce((sum, [, each]) => sum + each.served, 0);
  for (const [kind, {asked, served}] of counts) {
    const share = served / asked;
    assert.ok(
      share >= done / total / 2,
      `kind ${kind}: ${share} of ${done / total}`,
    );
  }
});

test.run();
