import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {declarationSchema} from '../../protocol/declaration.ts';
import type {ControlCommand} from '../../protocol/control.ts';
import {ControlState} from './control_state.ts';

const target = {model: 'draft', version: 'v2'};

function createApply(version: number, stages: number[]): ControlCommand {
  const each = {
    model: 'draft',
    pool: 'p',
    prompt_price: 1,
    completion_price: 1,
    expected_quality: 0.9,
  };
  const declaration = declarationSchema.parse({
    version,
    pools: [{name: 'p'}],
    versions: [
      {...each, name: 'v1'},
      {...each, name: 'v2'},
    ],
    rollouts: [{...target, stable: 'v1', stages}],
  });
  return {type: 'apply', declaration, digest: String(version), atMs: 5};
}

function createState(): ControlState {
  const state = new ControlState();
  state.apply(createApply(1, [0.05, 0.5, 1]), 1);
  return state;
}

function advance(state: ControlState, fromStage: number, index: number): void {
  const atMs = 10;
  state.apply({type: 'advance_rollout', ...target, fromStage, atMs}, index);
}

test('an advance committed twice advances one stage', () => {
  const state = createState();
  advance(state, 0, 2);
  advance(state, 0, 3);
  assert.is(state.view.rollouts[0]?.share, 0.5);
  assert.is(state.view.revision, 2);
});

test('a withdrawal is final and persists under a new plan', () => {
  const state = createState();
  state.apply(
    {type: 'end_rollout', ...target, status: 'withdrawn', reason: 'bad'},
    2,
  );
  advance(state, 0, 3);
  state.apply(createApply(2, [0.1, 1]), 4);
  assert.is(state.view.rollouts[0]?.status, 'withdrawn');
  assert.is(state.view.rollouts[0]?.share, 0);
  assert.is(state.view.withdrawals[0]?.version, 'draft/v2');
});

test('a changed plan does not raise the share', () => {
  const state = createState();
  advance(state, 0, 2);
  state.apply(createApply(2, [0.2, 0.8, 1]), 3);
  assert.is(state.view.rollouts[0]?.share, 0.2);
});

test('the last stage completes the roll-out', () => {
  const state = createState();
  for (const stage of [0, 1, 2]) advance(state, stage, 2 + stage);
  assert.is(state.view.rollouts[0]?.status, 'completed');
  assert.is(state.view.rollouts[0]?.share, 1);
});

test.run();
