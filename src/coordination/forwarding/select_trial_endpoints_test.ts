/**
 * Guards against versions that fail only under load: spread over all of its
 * endpoints, a small share of the requests shows nothing of it.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {createEndpoint} from './forwarding_fakes.ts';
import {
  countTrialEndpoints,
  selectTrialEndpoints,
  type SelectTrialOptions,
} from './select_trial_endpoints.ts';

const ENDPOINTS = Array.from({length: 6}, (_, place) =>
  createEndpoint(`e${place}`, {
    version: 'v2',
    dataCentre: place < 4 ? 'a' : 'b',
  }),
);

const ROLLOUT = {state: 'running' as const, target: 'v2', share: 0.2};

function select(
  endpoints: readonly EndpointEntry[],
  change: Partial<SelectTrialOptions> = {},
): readonly EndpointEntry[] {
  return selectTrialEndpoints(endpoints, {
    rollout: ROLLOUT,
    isUsable: () => true,
    isNear: () => true,
    ...change,
  });
}

test('an endpoint of a trial has no more load than when complete', () => {
  for (let endpoints = 1; endpoints <= 20; endpoints++) {
    for (let share = 0.01; share <= 1; share += 0.01) {
      const count = countTrialEndpoints(endpoints, share);
      const load = (share * endpoints) / count;
      const where = `${count} of ${endpoints} at ${share}`;
      assert.ok(load <= 1.1 + 1e-9, where);
      assert.ok(count >= 1 && count <= endpoints, where);
      assert.ok(count === 1 || load > 0.55, where);
    }
  }
});

test('selectTrialEndpoints() makes the same choice in any order', () => {
  const chosen = select(ENDPOINTS);
  assert.equal(chosen.length, 2);
  assert.deepEqual(select([...ENDPOINTS].reverse()), chosen);
});

test('selectTrialEndpoints() keeps those of a smaller share', () => {
  const more = select(ENDPOINTS, {rollout: {...ROLLOUT, share: 0.6}});
  for (const endpoint of select(ENDPOINTS)) {
    assert.ok(more.includes(endpoint));
  }
});

test('selectTrialEndpoints() selects usable ones of the region if it can', () => {
  const [first] = select(ENDPOINTS);
  assert.ok(first);
  const others = select(ENDPOINTS, {isUsable: each => each !== first});
  assert.ok(!others.includes(first));
  const near = select(ENDPOINTS, {isNear: each => each.dataCentre === 'b'});
  assert.deepEqual(
    near.map(({dataCentre}) => dataCentre),
    ['b'],
  );
  assert.equal(select(ENDPOINTS, {isUsable: () => false}).length, 2);
  assert.equal(select(ENDPOINTS, {isNear: () => false}).length, 2);
  assert.deepEqual(select([]), []);
});

test('selectTrialEndpoints() leaves other endpoints as they are', () => {
  const old = ENDPOINTS.map(each => ({...each, version: 'v1'}));
  assert.equal(select(old).length, 6);
  for (const state of ['complete', 'reverted'] as const) {
    assert.equal(select(ENDPOINTS, {rollout: {...ROLLOUT, state}}).length, 6);
  }
  assert.equal(select(ENDPOINTS, {rollout: null}).length, 6);
});

test.run();
