import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {VersionEvidence} from '../../protocol/core_service.ts';
import {decideRolloutStep} from './decide_rollout.ts';

const ROLLOUT = {
  service: 'model',
  target: 'v2',
  state: 'running' as const,
  stable: null,
  rejected: [],
  share: 0.05,
  beganAtMs: 0,
  durationMs: 20_000,
};

function createEvidence(change: Partial<VersionEvidence>): VersionEvidence {
  return {
    service: 'model',
    version: 'v2',
    route: 'letters',
    answers: 0,
    failures: 0,
    firstMs: 0,
    slow: 0,
    ...change,
  };
}

const STABLE = createEvidence({version: 'v1', answers: 200, failures: 2});

function decide(nowMs: number, evidence: VersionEvidence[], share = 0.05) {
  return decideRolloutStep({
    rollout: {...ROLLOUT, share},
    evidence: [STABLE, ...evidence],
    nowMs,
    hasEndpoints: true,
    canaryShare: 0.05,
  });
}

test('decideRolloutStep() begins with the small share', () => {
  assert.deepEqual(decide(100, [], 0), {type: 'share', share: 0.05});
  assert.deepEqual(decide(9_000, []), {type: 'none'});
});

test('decideRolloutStep() reverts a version half of whose answers fail', () => {
  const bad = createEvidence({answers: 8, failures: 4});
  assert.equal(decide(3_000, [bad]).type, 'revert');
});

test('decideRolloutStep() reverts a version that is slow on one route', () => {
  const good = createEvidence({answers: 90});
  const slow = createEvidence({route: 'notes', answers: 9, slow: 7});
  assert.equal(decide(3_000, [good, slow]).type, 'revert');
});

test('decideRolloutStep() holds few failures against no version', () => {
  const unlucky = createEvidence({answers: 40, failures: 2});
  assert.deepEqual(decide(9_000, [unlucky]), {type: 'none'});
});

test('decideRolloutStep() takes a good version to the end, step by step', () => {
  const good = createEvidence({answers: 60});
  assert.deepEqual(decide(12_000, [good]), {type: 'share', share: 0.3});
  assert.deepEqual(decide(16_000, [good]), {type: 'share', share: 0.3});
  assert.deepEqual(decide(16_000, [good], 0.6), {type: 'share', share: 1});
  assert.deepEqual(decide(18_000, [good], 1), {type: 'complete'});
});

test('decideRolloutStep() reverts what was not tried in time', () => {
  assert.equal(decide(20_000, []).type, 'revert');
});

test.run();
