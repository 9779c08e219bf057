/** Guards against speeds that queues, and endpoints long unused, get wrong. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {TimeFactorEstimator} from './time_factor.ts';

const STEP_MS = 500;

/** Records samples with noise of a fifth; returns the time of the last. */
function learn(
  estimator: TimeFactorEstimator,
  {factor, samples, queuedShare = 0, seed = 1}: LearnOptions,
): number {
  const {next} = createDraws(seed);
  let now = 0;
  for (let sample = 0; sample < samples; sample++) {
    now += STEP_MS;
    const noise = 0.8 + 0.4 * next();
    const queued = next() < queuedShare ? 1 + 6 * next() : 1;
    estimator.record(factor * noise * queued, now);
  }
  return now;
}

interface LearnOptions {
  readonly factor: number;
  readonly samples: number;
  /** The share of the samples that waited in a queue; none by default. */
  readonly queuedShare?: number;
  readonly seed?: number;
}

test('estimate() learns factors from 0.6 to 1.6', () => {
  for (const factor of [0.6, 0.8, 1.25, 1.6]) {
    const estimator = new TimeFactorEstimator();
    const now = learn(estimator, {factor, samples: 60});
    const estimate = estimator.estimate(now).factor;
    assert.ok(Math.abs(estimate / factor - 1) < 0.15, `${estimate}, ${factor}`);
  }
});

test('estimate() keeps apart fast and slow endpoints when a fifth of the samples waited', () => {
  for (let seed = 1; seed <= 50; seed++) {
    const [fast, slow] = [0.6, 1.6].map(factor => {
      const estimator = new TimeFactorEstimator();
      const options = {factor, samples: 60, queuedShare: 0.2, seed};
      return estimator.estimate(learn(estimator, options)).factor;
    });
    assert.ok(fast! < 0.85, `${fast} with seed ${seed}`);
    assert.ok(slow! > fast! * 1.7, `${slow}, ${fast} with seed ${seed}`);
  }
});

test('one sample of any size moves the estimate by a bounded part', () => {
  const estimator = new TimeFactorEstimator();
  const now = learn(estimator, {factor: 1, samples: 30});
  estimator.record(1_000, now);
  assert.ok(estimator.estimate(now).factor < 1.1);
});

test('estimate() is exactly 1 for endpoints that differ by noise only', () => {
  const estimator = new TimeFactorEstimator();
  assert.equal(estimator.estimate(0).factor, 1);
  estimator.record(1.04, 1);
  assert.equal(estimator.estimate(1).factor, 1);
});

test('estimate() forgets an endpoint that got no requests', () => {
  const estimator = new TimeFactorEstimator();
  const now = learn(estimator, {factor: 1.6, samples: 60});
  const early = estimator.estimate(now);
  const late = estimator.estimate(now + 300_000);
  assert.ok(late.factor < 1.1 && early.factor > 1.4);
  assert.ok(late.spread > early.spread);
});

test.run();
