import assert from 'node:assert/strict';
import {test} from 'uvu';
import {PaceLearner} from './reading_pace.ts';

/** An engine that takes 16 ms, and 0.06 ms for each token. */
function takeMs(tokens: number): number {
  return 16 + 0.06 * tokens;
}

const SIZES = [1_000, 17_000, 9_000, 2_000, 30_000, 4_000, 12_000, 500];

test('getPace() tells the fixed time from that of each token', () => {
  const learner = new PaceLearner();
  for (const tokens of SIZES) learner.record(tokens, takeMs(tokens));
  const {fixedMs, tokenMs} = learner.getPace();
  assert.ok(Math.abs(tokenMs - 0.06) < 0.001, `${tokenMs} ms a token`);
  assert.ok(Math.abs(fixedMs - 16) < 2, `${fixedMs} ms before`);
});

test('getPace() hardly changes when every fourth answer waited a second', () => {
  const learner = new PaceLearner();
  for (let round = 0; round < 20; round++) {
    for (const [place, tokens] of SIZES.entries()) {
      const waitMs = (place + round) % 4 === 0 ? 1_000 : 0;
      learner.record(tokens, takeMs(tokens) + waitMs);
    }
  }
  const {fixedMs, tokenMs} = learner.getPace();
  const ms = fixedMs + 10_000 * tokenMs;
  assert.ok(Math.abs(ms - takeMs(10_000)) < 150, `${ms} ms for 10,000 tokens`);
});

test('getPace() takes all for the tokens when all prompts are alike', () => {
  const learner = new PaceLearner();
  for (let answer = 0; answer < 10; answer++) learner.record(1_000, 50);
  const {fixedMs, tokenMs} = learner.getPace();
  assert.equal(fixedMs, 0);
  assert.ok(Math.abs(tokenMs - 0.05) < 1e-9);
});

test('getPace() is never negative when larger prompts begin sooner', () => {
  const learner = new PaceLearner();
  for (let answer = 0; answer < 10; answer++) {
    learner.record(1_000, 500);
    learner.record(10_000, 100);
  }
  const {fixedMs, tokenMs} = learner.getPace();
  assert.ok(fixedMs >= 0 && tokenMs > 0);
});

test('getPace() follows an engine that turns three times as slow', () => {
  const learner = new PaceLearner();
  for (let round = 0; round < 10; round++) {
    for (const tokens of SIZES) learner.record(tokens, takeMs(tokens));
  }
  for (let round = 0; round < 60; round++) {
    for (const tokens of SIZES) learner.record(tokens, 3 * takeMs(tokens));
  }
  const {tokenMs} = learner.getPace();
  assert.ok(tokenMs > 0.15, `${tokenMs} ms a token`);
});

test.run();
