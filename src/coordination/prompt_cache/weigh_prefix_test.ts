/**
 * Guards against requests that wait at the holder of a prefix for longer than its
 * cache saves, and against prefixes read again although their holder had room.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {RoutedService} from '../../protocol/route_table.ts';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {USUAL_TIME, type TimeFactor} from '../endpoint_speed/time_factor.ts';
import {chooseEndpoint} from '../forwarding/choose_endpoint.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {estimateHeld, estimateSlotWaitMs} from './engine_memory.ts';
import {countCachedTokens, weighPrefix} from './weigh_prefix.ts';

const MEMORY_TOKENS = 313_736;
const SLOTS = 16;
const HOLD_MS = 3_000;
const PREFIX_TOKENS = 6_000;
const OWN_TOKENS = 2_000;
const MS_PER_TOKEN = 0.06;

const SERVICE: RoutedService = {
  name: 'app',
  maxConnections: 100,
  engine: {
    slots: SLOTS,
    memoryTokens: MEMORY_TOKENS,
    tokensPerEvent: 5,
    models: [],
  },
};

interface EngineOptions {
  readonly open?: number;
  /** The tokens read since the prefix; the prefix was never sent if absent. */
  readonly tokensSince?: number;
  readonly ageMs?: number;
  readonly backlogMs?: number;
  readonly dataCentre?: string;
  readonly time?: TimeFactor;
}

interface ChooseOptions {
  readonly leftMs?: number;
  readonly random?: () => number;
}

/** Chooses among engines for a prompt of 8,000 tokens, 6,000 of them shared. */
function choose(
  engines: Readonly<Record<string, EngineOptions>>,
  {leftMs = 4_000, random = () => 0.5}: ChooseOptions = {},
): string | undefined {
  const candidates = Object.entries(engines).map(([id, options]) => {
    const {open = 0, tokensSince, ageMs = 0, backlogMs = 0} = options;
    const {dataCentre = 'a', time = USUAL_TIME} = options;
    const place = {
      memoryTokens: MEMORY_TOKENS,
      requestTokens: PREFIX_TOKENS + OWN_TOKENS,
      slots: SLOTS,
      holdMs: HOLD_MS,
      open,
    };
    const probability =
      tokensSince === undefined ? 0 : estimateHeld(place, {ageMs, tokensSince});
    return {
      ...weighPrefix(place, {
        others: open,
        promptTokens: PREFIX_TOKENS + OWN_TOKENS,
        links: [{tokens: PREFIX_TOKENS, probability}],
        msPerToken: MS_PER_TOKEN,
        backlogMs,
      }),
      endpoint: createEndpoint(id, {dataCentre, slots: SLOTS}),
      open,
      isEjected: false,
      isFull: false,
      failureShare: 0,
      time,
    };
  });
  return chooseEndpoint({
    service: SERVICE,
    candidates,
    region: 'r',
    dataCentre: 'a',
    findRegion: name => (name === 'far' ? 'other' : 'r'),
    leftMs,
    random,
  })?.endpoint.id;
}

test('a prefix goes to its holder while that has room', () => {
  assert.equal(
    choose({holder: {open: 6, tokensSince: 10_000}, idle: {}}),
    'holder',
  );
});

test('a popular prefix leaves a full holder if there is capacity elsewhere', () => {
  const holder = {open: SLOTS + 8, tokensSince: 0, backlogMs: 500};
  assert.equal(choose({holder, idle: {open: 2}}), 'idle');
});

test('a popular prefix stays at a full holder if all others are as full', () => {
  const full = {open: SLOTS + 2, backlogMs: 300};
  const holder = {...full, tokensSince: 0};
  assert.equal(choose({holder, other: full}), 'holder');
});

test('a short wait at the holder is worth the prefill that it saves', () => {
  const holder = {open: 4, tokensSince: 0, backlogMs: 600};
  assert.equal(choose({holder, idle: {}}), 'holder');
  // Not if the answer would begin too late.
  assert.equal(choose({holder, idle: {}}, {leftMs: 1_000}), 'idle');
});

test('a holder that is about to evict the prefix saves little', () => {
  const near = {open: 10, backlogMs: 400};
  assert.equal(
    choose({holder: {...near, tokensSince: 20_000}, idle: {}}),
    'holder',
  );
  const evicting = {...near, tokensSince: MEMORY_TOKENS};
  assert.equal(choose({holder: evicting, idle: {}}), 'idle');
  const old = {...near, tokensSince: 0, ageMs: 600_000};
  assert.equal(choose({holder: old, idle: {}}), 'idle');
});

test('running requests leave less memory for cached parts', () => {
  const memory = {memoryTokens: MEMORY_TOKENS, requestTokens: 15_000};
  const age = {ageMs: 0, tokensSince: 100_000};
  assert.ok(estimateHeld({...memory, open: 0}, age) > 0.95);
  assert.ok(estimateHeld({...memory, open: 18}, age) < 0.1);
});

test('requests that fill the memory wait even if slots are free', () => {
  const place = {memoryTokens: 30_000, slots: 16, holdMs: 1_000};
  const wait = (open: number) =>
    estimateSlotWaitMs({...place, open, requestTokens: 10_000});
  assert.equal(wait(2), 0);
  assert.ok(wait(4) > 500);
});

test('a holder in another data centre is worth the hop for a long prefix only', () => {
  const holder = {dataCentre: 'b', tokensSince: 0};
  assert.equal(choose({holder, near: {}}), 'holder');
  assert.equal(choose({holder: {...holder, open: 40}, near: {}}), 'near');
  // Nearly all was evicted.
  const evicted = {...holder, tokensSince: 2 * MEMORY_TOKENS};
  assert.equal(choose({holder: evicted, near: {}}), 'near');
});

test('a slow holder saves less than a fast engine', () => {
  const slow = {factor: 1.6, spread: 0};
  const fast = {factor: 0.6, spread: 0};
  const holder = {tokensSince: 0, backlogMs: 900};
  assert.equal(choose({holder, idle: {}}), 'holder');
  assert.equal(
    choose({holder: {...holder, time: slow}, idle: {time: fast}}),
    'idle',
  );
});

test('many gateways with one reading do not all choose the same engine', () => {
  const {next} = createDraws(5);
  const engines = Object.fromEntries(
    Array.from({length: 6}, (_, index) => [
      `e${index}`,
      {open: 10, backlogMs: index === 0 ? 0 : 800},
    ]),
  );
  const chosen = Array.from({length: 79}, () =>
    choose(engines, {random: next}),
  );
  const best = chosen.filter(id => id === 'e0').length;
  assert.ok(best > 79 / 6 && best < 79 * 0.5, `${best} of 79`);
});

test('countCachedTokens() counts the longest prefix that is held', () => {
  const link = (tokens: number, probability: number) => ({tokens, probability});
  assert.equal(countCachedTokens([link(1_000, 1), link(500, 0)]), 1_000);
  // The holder of a longer prefix has the shorter ones.
  assert.equal(countCachedTokens([link(1_000, 0), link(500, 1)]), 1_500);
  assert.equal(countCachedTokens([link(1_000, 0.5), link(500, 0.2)]), 600);
  assert.equal(countCachedTokens([]), 0);
});

test.run();
