import assert from 'node:assert/strict';
import {test} from 'uvu';
import {RoutingState} from './routing_state.ts';

function begin(state: RoutingState, target: string, index: number) {
  return state.apply(
    {
      type: 'begin_rollout',
      service: 'model',
      target,
      durationMs: 10,
      atMs: 5,
    },
    index,
  );
}

test('replace keeps the highest version and accepts lower ones', () => {
  const state = new RoutingState();
  state.apply({type: 'replace', version: 7, document: 'seven'}, 1);
  const late = state.apply({type: 'replace', version: 3, document: 'three'}, 2);
  assert.deepEqual(late, {type: 'accepted', revision: 1});
  state.apply({type: 'replace', version: 7, document: 'other'}, 3);
  assert.equal(state.configuration.document, 'seven');
  assert.equal(state.configuration.revision, 1);
});

test('begin_rollout is idempotent and conflicts with a running one', () => {
  const state = new RoutingState();
  begin(state, 'v2', 1);
  assert.equal(begin(state, 'v2', 2).type, 'rollout');
  assert.equal(begin(state, 'v3', 3).type, 'conflict');
});

test('finish_rollout records the stable and rejected versions', () => {
  const state = new RoutingState();
  begin(state, 'v2', 1);
  const finish = (target: string, to: 'complete' | 'reverted', at: number) =>
    state.apply(
      {type: 'finish_rollout', service: 'model', target, state: to},
      at,
    );
  finish('v2', 'complete', 2);
  begin(state, 'v3', 3);
  finish('v3', 'reverted', 4);
  // A late command for a finished roll-out has no effect.
  finish('v3', 'complete', 5);
  const [rollout] = state.configuration.rollouts;
  assert.equal(rollout?.state, 'reverted');
  assert.equal(rollout?.stable, 'v2');
  assert.deepEqual(rollout?.rejected, ['v3']);
});

test('restoreSnapshot() restores an equal state', () => {
  const state = new RoutingState();
  state.apply({type: 'replace', version: 1, document: 'one'}, 1);
  const copy = new RoutingState();
  copy.restoreSnapshot(structuredClone(state.createSnapshot()));
  assert.deepEqual(copy.configuration, state.configuration);
});

// Guards against drains that are lost with a snapshot, or that a change of the
// document ends.
test('set_drain adds and removes data centres and outlasts other commands', () => {
  const state = new RoutingState();
  const drain = (dataCentre: string, isDrained: boolean, index: number) =>
    state.apply({type: 'set_drain', dataCentre, isDrained}, index);
  drain('a', true, 1);
  drain('b', true, 2);
  assert.deepEqual(drain('a', true, 3), {type: 'accepted', revision: 2});
  state.apply({type: 'replace', version: 7, document: 'seven'}, 4);
  begin(state, 'v2', 5);
  assert.deepEqual(state.configuration.drained, ['a', 'b']);
  const restored = new RoutingState();
  restored.restoreSnapshot(JSON.parse(JSON.stringify(state.createSnapshot())));
  assert.deepEqual(restored.configuration.drained, ['a', 'b']);
  drain('a', false, 6);
  drain('c', false, 7);
  assert.deepEqual(state.configuration.drained, ['b']);
  assert.equal(state.configuration.revision, 6);
  drain('b', false, 8);
  assert.equal('drained' in state.configuration, false);
});

test.run();
