import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  declarationSchema,
  formatVersion,
  type Customer,
  type Version,
} from '../../protocol/declaration.ts';
import type {RolloutState} from '../../protocol/rollout_state.ts';
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

const view = {
  revision: 1,
  declaration,
  withdrawals: [],
  draining: [],
  rollouts: [],
};

/** Scores of the small version, of which two in three are good. */
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

const rollout: RolloutState = {
  model: 'draft',
  version: 'next',
  stable: 'large',
  status: 'running',
  stage: 0,
  share: 1,
  stageSinceMs: 0,
  reason: '',
};

function rollOut(
  state: Partial<RolloutState>,
  exposure: Customer['exposure'],
  changes: Partial<PlanCompletionOptions> = {},
): CompletionPlan {
  return plan({
    view: {...view, rollouts: [{...rollout, ...state}]},
    customer: {...customer!, exposure},
    served: all,
    ...changes,
  });
}
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

test('planCompletion() plans no cascade while ratings are unavailable', () => {
  const result = plan({rating: {available: false, delayMs: 0}});
  assert.deepEqual(listSteps(result), ['draft/large direct']);
  assert.ok(result.reasons.some(reason => /rating service away/.test(reason)));
});

test('planCompletion() follows a pin regardless of the price', () => {
  const result = plan({pinned: 'draft/small', sticky: true});
  assert.deepEqual(listSteps(result), ['draft/small direct']);
  assert.deepEqual(result.fallbacks, []);
});

test('planCompletion() rejects versions withdrawn or not allowed', () => {
  const withdrawals = ['draft/small', 'draft/large'].map(version => ({
    version,
    reason: '',
  }));
  const result = plan({view: {...view, withdrawals}});
  assert.deepEqual(result.steps, []);
  assert.deepEqual(result.rejected.map(each => each.reason).sort(), [
    'no endpoint',
    'withdrawn',
    'withdrawn',
  ]);
  const stranger = {...customer!, versions: ['other/*']};
  assert.deepEqual(plan({customer: stranger}).steps, []);
});

test('planCompletion() uses the candidate in the share of a roll-out', () => {
  const sticky = {sticky: true};
  const steps = (state: Partial<RolloutState>) =>
    listSteps(rollOut(state, 'direct', sticky));
  assert.deepEqual(steps({}), ['draft/next direct']);
  assert.deepEqual(steps({share: 0}), ['draft/large direct']);
  assert.deepEqual(steps({status: 'withdrawn'}), ['draft/large direct']);
  assert.deepEqual(steps({status: 'completed', share: 1}), [
    'draft/next direct',
  ]);
});

test('planCompletion() avoids a candidate below the quality target', () => {
  const result = rollOut({}, 'direct', {
    sticky: true,
    estimateQuality: (version: Version) =>
      estimateQuality(createScoreHistogram(), {
        declared: version.name === 'large' ? 0.85 : 0.7,
      }),
  });
  assert.deepEqual(listSteps(result), ['draft/large direct']);
});

test('planCompletion() holds a gated candidate until it is rated', () => {
  const result = rollOut({}, 'gated', {streamed: true});
  assert.deepEqual(listSteps(result), [
    'draft/next rated',
    'draft/large direct',
  ]);
  assert.equal(result.steps[0]?.whenUnrated, 'next');
  const rating = {available: false, delayMs: 0};
  const closed = rollOut({}, 'gated', {rating});
  assert.deepEqual(listSteps(closed), ['draft/large direct']);
});

test('planCompletion() shadows gated candidates in sessions', () => {
  const result = rollOut({}, 'gated', {sticky: true});
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
