import assert from 'node:assert/strict';
import {test} from 'uvu';
import {PrefillRateEstimator} from './prefill_rate.ts';

/** The time to begin of an engine with 16 ms plus 0.06 ms per token. */
function computePrefillMs(tokens: number): number {
  return 16 + 0.06 * tokens;
}

const SIZES = [1_000, 17_000, 9_000, 2_000, 30_000, 4_000, 12_000, 500];

test('getRate() separates the fixed time from the time per token', () => {
  const estimator = new PrefillRateEstimator();
  for (const tokens of SIZES)
    estimator.record(tokens, computePrefillMs(tokens));
  const {fixedMs, msPerToken} = estimator.getRate();
  assert.ok(Math.abs(msPerToken - 0.06) < 0.001, `${msPerToken} ms a token`);
  assert.ok(Math.abs(fixedMs - 16) < 2, `${fixedMs} ms fixed`);
});

test('getRate() hardly changes when every fourth answer waited a second', () => {
  const estimator = new PrefillRateEstimator();
  for (let round = 0; round < 20; round++) {
    for (const [place, tokens] of SIZES.entries()) {
      const waitMs = (place + round) % 4 === 0 ? 1_000 : 0;
      estimator.record(tokens, computePrefillMs(tokens) + waitMs);
    }
  }
  const {fixedMs, msPerToken} = estimator.getRate();
  const ms = fixedMs + 10_000 * msPerToken;
  assert.ok(
    Math.abs(ms - computePrefillMs(10_000)) < 150,
    `${ms} ms for 10,000 tokens`,
  );
});

test('getRate() attributes all time to the tokens when prompts are of one size', () => {
  const estimator = new PrefillRateEstimator();
  for (let answer = 0; answer < 10; answer++) estimator.record(1_000, 50);
  const {fixedMs, msPerToken} = estimator.getRate();
  assert.equal(fixedMs, 0);
  assert.ok(Math.abs(msPerToken - 0.05) < 1e-9);
});

test('getRate() is never negative when larger prompts begin sooner', () => {
  const estimator = new PrefillRateEstimator();
  for (let answer = 0; answer < 10; answer++) {
    estimator.record(1_000, 500);
    estimator.record(10_000, 100);
  }
  const {fixedMs, msPerToken} = estimator.getRate();
  assert.ok(fixedMs >= 0 && msPerToken > 0);
});

test('getRate() follows an engine that becomes three times as slow', () => {
  const estimator = new PrefillRateEstimator();
  for (let round = 0; round < 10; round++) {
    for (const tokens of SIZES)
      estimator.record(tokens, computePrefillMs(tokens));
  }
  for (let round = 0; round < 60; round++) {
    for (const tokens of SIZES)
      estimator.record(tokens, 3 * computePrefillMs(tokens));
  }
  const {msPerToken} = estimator.getRate();
  assert.ok(msPerToken > 0.15, `${msPerToken} ms a token`);
});

test.run();
