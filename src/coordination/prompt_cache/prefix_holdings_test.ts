/** Guards against caches that are counted on after their engine lost them. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {estimateHeld} from './engine_memory.ts';
import {PrefixHoldings} from './prefix_holdings.ts';
import {listChain} from './prompt_chain.ts';
import {ServiceFlow} from './service_flow.ts';

const ENGINE = createEndpoint('e1');
const PROMPT = [
  {id: 's1', tokens: 3_000},
  {id: 'd1', tokens: 2_000},
  {id: 'own', tokens: 500},
];
const CHAIN = listChain({prompt: PROMPT, session: null}, 'large');
const KEY = CHAIN[0]!.key;
const MEMORY = {memoryTokens: 100_000, open: 0, requestTokens: 5_000};

test('listChain() lists the shared prefixes, and the part of a session', () => {
  assert.deepEqual(
    CHAIN.map(({tokens, isShared}) => [tokens, isShared]),
    [
      [3_000, true],
      [2_000, true],
    ],
  );
  const session = listChain({prompt: PROMPT, session: 'u1'}, 'large');
  assert.equal(session.length, 3);
  assert.equal(session[2]!.isShared, false);
  const [first] = listChain({prompt: PROMPT, session: null}, 'small');
  assert.notEqual(first!.key, KEY);
  const [, moved] = listChain(
    {prompt: [PROMPT[1]!, PROMPT[1]!, PROMPT[2]!], session: null},
    'large',
  );
  assert.notEqual(moved!.key, CHAIN[1]!.key);
});

test('find() counts what this gateway and others sent since', async () => {
  const clock = new SimulatedClock();
  const holdings = new PrefixHoldings(clock);
  holdings.record(ENGINE, CHAIN, 5_500);
  assert.equal(holdings.find(ENGINE, KEY)?.tokensSince, 0);
  holdings.record(ENGINE, [], 40_000);
  assert.equal(holdings.find(ENGINE, KEY)?.tokensSince, 40_000);
  assert.ok(estimateHeld(MEMORY, holdings.find(ENGINE, KEY)!) > 0.9);
  await clock.advance(10_000);
  holdings.addOthers(ENGINE, 10);
  assert.equal(holdings.find(ENGINE, KEY)?.tokensSince, 140_000);
  assert.ok(estimateHeld(MEMORY, holdings.find(ENGINE, KEY)!) < 0.25);
  // It was used again, so that others are evicted first.
  holdings.record(ENGINE, CHAIN, 500);
  assert.equal(holdings.find(ENGINE, KEY)?.tokensSince, 0);
});

test('a prompt that its engine refused is not counted on', () => {
  const holdings = new PrefixHoldings(new SimulatedClock());
  holdings.record(ENGINE, CHAIN.slice(0, 1), 3_500);
  const undo = holdings.record(ENGINE, CHAIN, 2_500);
  undo();
  assert.equal(holdings.find(ENGINE, CHAIN[1]!.key), null);
  // What it had before is still there.
  assert.equal(holdings.find(ENGINE, KEY)?.tokensSince, 0);
});

test('find() finds nothing of another start or engine', () => {
  const holdings = new PrefixHoldings(new SimulatedClock());
  holdings.record(ENGINE, CHAIN, 5_500);
  assert.equal(holdings.find({...ENGINE, startedAtMs: 2}, KEY), null);
  assert.equal(holdings.find(createEndpoint('e2'), KEY), null);
  assert.deepEqual([...(holdings.findPrefix(KEY)?.holders ?? [])], ['e1']);
});

test('the tracked prefixes and engines are bounded', () => {
  const holdings = new PrefixHoldings(new SimulatedClock());
  for (let engine = 0; engine < 100; engine++) {
    holdings.record(createEndpoint(`e${engine}`), CHAIN, 1);
  }
  assert.equal([...(holdings.findPrefix(KEY)?.holders ?? [])].length, 12);
  for (let index = 0; index < 10_000; index++) {
    const link = {key: `k${index}`, tokens: 1, isShared: true};
    holdings.record(ENGINE, [link], 1);
  }
  assert.equal(holdings.findPrefix(KEY), null);
  assert.ok(holdings.findPrefix('k9999'));
});

test('ServiceFlow measures how long requests are open', () => {
  const flow = new ServiceFlow();
  // A request each 100 ms, of which 20 are open, takes 2 s.
  for (let request = 0; request < 300; request++) {
    const sizes = {requestTokens: 6_000, uncachedTokens: 3_000};
    flow.record(sizes, 20, request * 100);
  }
  assert.ok(Math.abs(flow.holdMs - 2_000) < 200, `${flow.holdMs}`);
  assert.ok(Math.abs(flow.requestTokens - 6_000) < 1);
});

test.run();
