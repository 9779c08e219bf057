import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  declarationSchema,
  formatVersion,
  type Version,
} from '../../protocol/declaration.ts';
import type {RolloutView} from '../../protocol/rollout.ts';
import {estimateQuality} from '../quality/estimate_quality.ts';
import {addScore, createScoreHistogram} from '../quality/score_histogram.ts';
import type {CompletionPlan, PlanCompletionOptions} from './completion_plan.ts';
import {planCompletion} from './plan_completion.ts';

function declareVersion(name: string, price: number, quality: number) {
  return {
    model: 'draft',
    name,
    pool: 'p',
    prompt_price: price,
    completion_price: price,
    expected_quality: quality,
  };
}

const declaration = declarationSchema.parse({
  version: 1,
  versions: [
    declareVersion('small', 10, 0.6),
    declareVersion('large', 100, 0.85),
    declareVersion('next', 90, 0.85),
  ],
  customers: [
    {
      name: 'desk',
      key_sha256: '0'.repeat(64),
      versions: ['draft/*'],
      targets: [{quality: 0.8, first_token_ms: 500}],
    },
  ],
});
const [customer] = declaration.customers;
assert.ok(customer);

/** Scores of the small version: good two times of three. */
const mixed = createScoreHistogram();
for (let index = 0; index < 300; index++) {
  addScore(mixed, index % 3 === 0 ? 0.2 : 0.9);
}

function plan(changes: Partial<PlanCompletionOptions> = {}): CompletionPlan {
  return planCompletion({
    view: {
      revision: 1,
      declaration,
      withdrawals: [],
      draining: [],
      rollouts: [],
    },
    customer: customer!,
    model: 'draft',
    routingKey: 'r1',
    served: new Set(['draft/small', 'draft/large']),
    streamed: false,
    deadlineMs: 60_000,
    promptTokens: 1_000,
    completionTokens: 200,
    estimateQuality: (version: Version) =>
      estimateQuality(
        version.name === 'small' ? mixed : createScoreHistogram(),
        {declared: version.name === 'small' ? 0.8 : version.expected_quality},
      ),
    estimateSpeed: () => ({firstTokenMs: 200, tokenGapMs: 20}),
    rating: {available: true, delayMs: 500},
    random: () => 0.5,
    ...changes,
  });
}

function listSteps({steps}: CompletionPlan): string[] {
  return steps.map(step => `${formatVersion(step.version)} ${step.release}`);
}

const rollout: RolloutView = {
  model: 'draft',
  candidate: 'draft/next',
  stable: 'draft/large',
  share: 1,
  mode: 'direct',
  status: 'running',
};
const all = new Set(['draft/small', 'draft/large', 'draft/next']);

test('planCompletion() plans a cascade that is cheaper at the target', () => {
  const result = plan();
  assert.deepEqual(listSteps(result), [
    'draft/small rated',
    'draft/large direct',
  ]);
  assert.ok(result.expectedCost < (0.7 * (1_200 * 100)) / 1_000);
  assert.ok(result.expectedQuality >= 0.8);
});

test('planCompletion() skips the cascade for a streamed answer', () => {
  assert.deepEqual(listSteps(plan({streamed: true})), ['draft/large direct']);
});

test('planCompletion() skips the cascade near the deadline', () => {
  assert.deepEqual(listSteps(plan({deadlineMs: 9_000})), [
    'draft/large direct',
  ]);
});

test('planCompletion() keeps to known bounds without ratings', () => {
  const result = plan({rating: {available: false, delayMs: 0}});
  assert.deepEqual(listSteps(result), ['draft/large direct']);
  assert.ok(result.reasons.some(reason => /rating service away/.test(reason)));
});

test('planCompletion() follows a pin whatever the price', () => {
  const result = plan({pinned: 'draft/small', sticky: true});
  assert.deepEqual(listSteps(result), ['draft/small direct']);
  assert.deepEqual(result.fallbacks, []);
});

test('planCompletion() refuses what is withdrawn or not allowed', () => {
  const view = {
    revision: 2,
    declaration,
    withdrawals: [
      {version: 'draft/small', reason: ''},
      {version: 'draft/large', reason: ''},
    ],
    draining: [],
    rollouts: [],
  };
  const result = plan({view});
  assert.deepEqual(result.steps, []);
  assert.deepEqual(result.rejected.map(each => each.reason).sort(), [
    'no endpoint',
    'withdrawn',
    'withdrawn',
  ]);
  const stranger = {...customer!, versions: ['other/*']};
  assert.deepEqual(plan({customer: stranger}).steps, []);
});

test('planCompletion() sends the share of a direct roll-out', () => {
  const inside = plan({served: all, rollouts: [rollout], sticky: true});
  assert.deepEqual(listSteps(inside), ['draft/next direct']);
  const outside = plan({
    served: all,
    rollouts: [{...rollout, share: 0}],
    sticky: true,
  });
  assert.deepEqual(listSteps(outside), ['draft/large direct']);
  const halted = plan({
    served: all,
    rollouts: [{...rollout, status: 'halted'}],
    sticky: true,
  });
  assert.deepEqual(listSteps(halted), ['draft/large direct']);
});

test('planCompletion() holds a gated candidate until it is rated', () => {
  const gated = {...rollout, mode: 'gated' as const};
  const result = plan({served: all, rollouts: [gated], streamed: true});
  assert.deepEqual(listSteps(result), [
    'draft/next rated',
    'draft/large direct',
  ]);
  assert.equal(result.steps[0]?.whenUnrated, 'next');
  const closed = plan({
    served: all,
    rollouts: [gated],
    rating: {available: false, delayMs: 0},
  });
  assert.deepEqual(listSteps(closed), ['draft/large direct']);
});

test('planCompletion() shadows gated candidates in sessions', () => {
  const gated = {...rollout, mode: 'gated' as const};
  const result = plan({served: all, rollouts: [gated], sticky: true});
  assert.deepEqual(listSteps(result), ['draft/large direct']);
  assert.equal(result.shadow?.name, 'next');
});

test('planCompletion() explores only where the customer allows it', () => {
  const loose = createScoreHistogram();
  for (const score of [0.6, 1, 0.7, 0.9]) addScore(loose, score);
  const changes = {
    random: () => 0,
    streamed: true,
    estimateQuality: (version: Version) =>
      estimateQuality(
        version.name === 'small' ? loose : createScoreHistogram(),
        {declared: version.name === 'small' ? 0.78 : 0.85},
      ),
  };
  assert.deepEqual(listSteps(plan(changes)), ['draft/large direct']);
  const explorer = {...customer!, explore: true};
  assert.deepEqual(listSteps(plan({...changes, customer: explorer})), [
    'draft/small direct',
  ]);
});

test.run();
