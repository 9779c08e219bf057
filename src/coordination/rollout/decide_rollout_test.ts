import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {rolloutSchema} from '../../protocol/declaration.ts';
import {RATING_BINS, type RolloutState} from '../../protocol/rollout_state.ts';
import {decideRollout} from './decide_rollout.ts';
import {
  ALPHA,
  evaluateEvidence,
  type EvidenceCounts,
} from './evaluate_evidence.ts';
import {createCounts} from './evidence_ledger.ts';

const SECOND_MS = 1_000;

const plan = rolloutSchema.parse({
  model: 'draft',
  version: 'v2',
  stable: 'v1',
  stages: [0.05, 0.5, 1],
  stage_s: 60,
  stage_ratings: 20,
  deadline_s: 600,
});

const running: RolloutState = {
  model: 'draft',
  version: 'v2',
  stable: 'v1',
  status: 'running',
  stage: 0,
  share: 0.05,
  stageSinceMs: 0,
  reason: 'declared',
};

function createRatings(values: readonly number[]): EvidenceCounts {
  const counts = createCounts();
  for (const value of values) {
    const bin = Math.min(RATING_BINS - 1, Math.floor(value * RATING_BINS));
    counts.ratings[bin] = (counts.ratings[bin] ?? 0) + 1;
  }
  return counts;
}

function decide(candidate: EvidenceCounts, nowMs: number, state = running) {
  return decideRollout({
    plan,
    state,
    candidate: [candidate],
    stable: createCounts(),
    stableQuality: 0.9,
    nowMs,
  }).type;
}

test('decideRollout() advances only with time and ratings', () => {
  const good = createRatings(new Array(20).fill(0.92));
  assert.is(decide(good, 59 * SECOND_MS), 'wait');
  assert.is(decide(createRatings([0.92]), 61 * SECOND_MS), 'wait');
  assert.is(decide(good, 61 * SECOND_MS), 'advance');
});

// Guards against a version that is completed by time alone.
test('decideRollout() advances only on answers if no rating is wanted', () => {
  const decideWith = (answers: number, errors: number, stage = 0) =>
    decideRollout({
      plan: {...plan, stage_ratings: 0},
      state: {...running, stage},
      candidate: [{...createCounts(), requests: answers + errors, errors}],
      stable: {...createCounts(), requests: 1_000},
      stableQuality: 0.9,
      nowMs: 61 * SECOND_MS,
    });
  assert.equal(decideWith(0, 0), {
    type: 'wait',
    reason: '0 of 20 answers are in',
  });
  assert.is(decideWith(19, 1).type, 'wait');
  assert.is(decideWith(20, 0).type, 'advance');
  // Each stage needs answers of its own.
  assert.is(decideWith(39, 0, 1).type, 'wait');
  assert.is(decideWith(40, 0, 1).type, 'advance');
});

test('decideRollout() backs out at the deadline, also when paused', () => {
  const none = createCounts();
  assert.is(decide(none, 600 * SECOND_MS), 'back-out');
  const paused: RolloutState = {...running, status: 'paused'};
  assert.is(decide(none, 600 * SECOND_MS, paused), 'back-out');
});

test('decideRollout() withdraws a bad version within ten ratings', () => {
  assert.is(decide(createRatings(new Array(10).fill(0.3)), 0), 'withdraw');
});

test('decideRollout() withdraws a completed version that regresses', () => {
  const completed: RolloutState = {...running, status: 'completed', share: 1};
  const whole = createRatings([
    ...new Array<number>(2_000).fill(0.92),
    ...new Array<number>(20).fill(0.3),
  ]);
  const later = createRatings(new Array(20).fill(0.3));
  const decision = decideRollout({
    plan,
    state: completed,
    candidate: [whole, later],
    stable: createCounts(),
    stableQuality: 0.9,
    nowMs: 0,
  });
  assert.is(decision.type, 'withdraw');
});

test('evaluateEvidence() bounds false halts under continuous testing', () => {
  const trials = 1_000;
  const generator = xoroshiro128plus(7);
  let halts = 0;
  for (let trial = 0; trial < trials; trial++) {
    const counts = createCounts();
    for (let seen = 0; seen < 200; seen++) {
      // A version exactly at the floor: mean 0.85, the worst tolerated.
      const good = uniformFloat64(generator) < 0.85;
      const bin = good ? RATING_BINS - 1 : 0;
      counts.ratings[bin] = (counts.ratings[bin] ?? 0) + 1;
      const verdict = evaluateEvidence({
        candidate: [counts],
        stable: createCounts(),
        stableQuality: 0.9,
        toleratedDrop: 0.05,
      });
      if (!verdict.halt) continue;
      halts++;
      break;
    }
  }
  assert.ok(halts <= trials * ALPHA, `${halts} of ${trials} halted`);
});

test.run();
