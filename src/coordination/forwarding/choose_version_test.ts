import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {ServiceRollout} from '../../protocol/core_service.ts';
import {chooseVersion} from './choose_version.ts';

function createRollout(change: Partial<ServiceRollout>): ServiceRollout {
  return {
    service: 'model',
    target: 'v2',
    state: 'running',
    stable: null,
    rejected: [],
    share: 0,
    movesSessions: true,
    beganAtMs: 0,
    durationMs: 1,
    ...change,
  };
}

const createSession = (key: string) => ({key, isSession: true});

const SESSIONS = Array.from({length: 2_000}, (_none, index) => `s${index}`);

test('chooseVersion() applies the share and never moves a session back', () => {
  const takesNew = (share: number) =>
    SESSIONS.filter(session =>
      chooseVersion(createRollout({share}), createSession(session))('v2'),
    );
  const few = takesNew(0.1);
  const many = takesNew(0.5);
  assert.ok(Math.abs(few.length / SESSIONS.length - 0.1) < 0.02);
  assert.ok(Math.abs(many.length / SESSIONS.length - 0.5) < 0.03);
  assert.ok(few.every(session => many.includes(session)));
});

test('chooseVersion() keeps sessions on the old version until sessions move', () => {
  const rollout = createRollout({share: 0.5, movesSessions: false});
  const moved = SESSIONS.filter(key =>
    chooseVersion(rollout, {key, isSession: true})('v2'),
  );
  assert.deepEqual(moved, []);
  const single = SESSIONS.filter(key =>
    chooseVersion(rollout, {key, isSession: false})('v2'),
  );
  assert.ok(Math.abs(single.length / SESSIONS.length - 0.5) < 0.03);
});

test('chooseVersion() allows only one version after the roll-out has ended', () => {
  const complete = chooseVersion(
    createRollout({state: 'complete'}),
    createSession('s'),
  );
  assert.deepEqual([complete('v1'), complete('v2')], [false, true]);
  const reverted = chooseVersion(
    createRollout({state: 'reverted', rejected: ['v2']}),
    createSession('s'),
  );
  assert.deepEqual([reverted('v1'), reverted('v2')], [true, false]);
});

test('chooseVersion() allows all versions without a roll-out', () => {
  assert.equal(chooseVersion(null, createSession('s'))('any'), true);
});

test.run();
