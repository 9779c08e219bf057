import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {
  planPlacement,
  type PlacementEndpoint,
  type PlacementVersion,
  type PlanPlacementOptions,
} from './plan_placement.ts';

function createEndpoint(
  name: string,
  versions: readonly string[],
  options: Partial<PlacementEndpoint> = {},
): PlacementEndpoint {
  return {
    name,
    dataCentre: 'plovdiv-a',
    versions,
    versionSlots: 2,
    slots: 10,
    busy: false,
    ...options,
  };
}

function createVersion(name: string, demand: number): PlacementVersion {
  return {name, usable: true, demand};
}

function plan(options: Partial<PlanPlacementOptions>) {
  return planPlacement({
    endpoints: [],
    versions: [],
    regret: 0,
    elapsedS: 2,
    loadS: 30,
    concurrentLoads: 2,
    ...options,
  });
}

test('planPlacement() immediately loads a version without a copy', () => {
  const {orders} = plan({
    endpoints: [createEndpoint('e1', ['m/a']), createEndpoint('e2', ['m/a'])],
    versions: [createVersion('m/a', 5), createVersion('m/b', 0)],
  });
  assert.is(orders.length, 1);
  assert.is(orders[0]?.action, 'load');
  assert.is(orders[0]?.version, 'm/b');
});

test('planPlacement() loads once the regret exceeds the cost of a load', () => {
  const options = {
    endpoints: [
      createEndpoint('e1', ['m/a', 'm/b']),
      createEndpoint('e2', ['m/a', 'm/b']),
      createEndpoint('e3', ['m/b'], {versionSlots: 3}),
    ],
    versions: [createVersion('m/a', 24), createVersion('m/b', 1)],
  };
  const first = plan(options);
  assert.equal(first.orders, []);
  assert.ok(first.regret > 0);
  const later = plan({...options, regret: 500});
  assert.is(later.orders[0]?.endpoint, 'e3');
  assert.is(later.orders[0]?.version, 'm/a');
});

test('planPlacement() unloads versions that are not usable', () => {
  const {orders} = plan({
    endpoints: [createEndpoint('e1', ['m/a', 'm/bad'])],
    versions: [
      createVersion('m/a', 1),
      {name: 'm/bad', usable: false, demand: 3},
    ],
  });
  assert.equal(
    orders.map(each => [each.action, each.version]),
    [['unload', 'm/bad']],
  );
});

test('planPlacement() evicts only spare copies to make room', () => {
  const endpoints = ['e1', 'e2'].map(name =>
    createEndpoint(name, ['m/a'], {versionSlots: 1}),
  );
  const spare = plan({
    endpoints,
    versions: [createVersion('m/a', 1), createVersion('m/b', 1)],
  });
  assert.is(spare.orders[0]?.version, 'm/b');
  assert.is(spare.orders[0]?.replaces, 'm/a');
  const needed = plan({
    endpoints: endpoints.slice(0, 1),
    versions: [createVersion('m/a', 1), createVersion('m/b', 1)],
  });
  assert.equal(needed.orders, []);
});

test('planPlacement() respects the limit of concurrent loads', () => {
  const endpoints = [
    createEndpoint('e1', [], {busy: true}),
    createEndpoint('e2', []),
    createEndpoint('e3', []),
  ];
  const versions = [createVersion('m/a', 1), createVersion('m/b', 1)];
  assert.is(plan({endpoints, versions}).orders.length, 1);
});

test.run();
