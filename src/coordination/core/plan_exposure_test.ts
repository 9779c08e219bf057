import assert from 'node:assert/strict';
import {test} from 'uvu';
import {computeAffordableShare, type ExposureView} from './plan_exposure.ts';

/** 1,000 requests are expected, as many again as have been answered. */
const VIEW: ExposureView = {
  limit: {share: 0.15, extra: 30},
  durationMs: 20_000,
  progress: 0.55,
  heldUntil: 0.8,
  laterShare: 0.08,
  share: 0.1,
  targetAnswers: 40,
  answers: 500,
};

function compute(change: Partial<ExposureView> = {}): number {
  return Number(computeAffordableShare({...VIEW, ...change}).toFixed(6));
}

// Guards against a version that gets too many requests: those that it had, those
// that are not known yet and those after its completion add up.
test('computeAffordableShare() counts earlier, unknown and later requests', () => {
  assert.equal(compute(), (150 + 15 - 40 - 5 - 80) / 250);
  assert.equal(compute({targetAnswers: 60}), (150 + 15 - 60 - 5 - 80) / 250);
  assert.equal(compute({share: 0.2}), (150 + 15 - 40 - 10 - 80) / 250);
  assert.equal(compute({laterShare: 0.1}), (150 + 15 - 40 - 5 - 100) / 250);
});

test('computeAffordableShare() is below 0 once the limit is used up', () => {
  assert.ok(compute({targetAnswers: 100}) < 0);
});

test('computeAffordableShare() affords nothing without evidence', () => {
  assert.equal(compute({answers: 0, targetAnswers: 0}), 0);
  assert.equal(compute({progress: 0.04}), 0);
  assert.equal(compute({progress: 0.8}), 0);
});

test.run();
