import assert from 'node:assert/strict';
import {test} from 'uvu';
import {planPrefill} from './plan_prefill.ts';

const SHARED = {cachedProbability: 0.5, msPerToken: 2};

test('planPrefill() estimates the tokens that are not cached', () => {
  const plan = planPrefill({...SHARED, sharedTokens: 100, ownTokens: 10});
  assert.deepEqual(plan, {uncachedTokens: 60, ms: 120});
});

// Guards against a gateway that stops following the core: it reports its prefill
// time, and a caller may name longer parts than the prompt that they are part of.
test('planPrefill() is not negative if the parts exceed the prompt', () => {
  const plan = planPrefill({...SHARED, sharedTokens: 1_000, ownTokens: -990});
  assert.deepEqual(plan, {uncachedTokens: 0, ms: 0});
});

test.run();
