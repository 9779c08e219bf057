import assert from 'node:assert/strict';
import {test} from 'uvu';
import {KnownGateways, type HeardCall} from './known_gateways.ts';

function createCall(call: Partial<HeardCall>): HeardCall {
  return {
    at: 'c1/1',
    atMs: 100,
    run: 'g/1',
    configurationRevision: 0,
    endpointRevision: 0,
    ...call,
  };
}

/** Records calls of one gateway in all orders; returns what it has in each. */
function recordInAllOrders(calls: readonly HeardCall[]) {
  return permute(calls).map(order => {
    const gateways = new KnownGateways();
    for (const call of order) gateways.record('g', call);
    const known = gateways.find('g');
    const endpoints = [...(known?.calls ?? [])]
      .map(([at, {endpointRevision}]) => `${at}: ${endpointRevision}`)
      .sort();
    return {
      run: known?.run,
      atMs: known?.atMs,
      configuration: known?.configurationRevision,
      endpoints,
    };
  });
}

function permute<T>(items: readonly T[]): T[][] {
  if (items.length === 0) return [[]];
  return items.flatMap((item, index) => {
    const others = items.filter((_, other) => other !== index);
    return permute(others).map(rest => [item, ...rest]);
  });
}

// Guards against a gateway that counts as behind, since of two calls the one that is
// heard of later, or takes longer on its way, counts.
test('calls of one run count in whatever order they are heard of', () => {
  const known = recordInAllOrders([
    createCall({at: 'c1/1', endpointRevision: 7, configurationRevision: 2}),
    createCall({at: 'c2/1', atMs: 140, endpointRevision: 4}),
    createCall({at: 'c1/1', atMs: 160, configurationRevision: 3}),
    createCall({at: 'c2/2', atMs: 90, endpointRevision: 1}),
  ]);
  for (const each of known) {
    assert.deepEqual(each, {
      run: 'g/1',
      atMs: 160,
      configuration: 3,
      endpoints: ['c1/1: 7', 'c2/1: 4', 'c2/2: 1'],
    });
  }
});

// Guards against a restarted gateway that counts as having what its run before had.
test('of two runs the one that called last counts', () => {
  const known = recordInAllOrders([
    createCall({endpointRevision: 7, configurationRevision: 2}),
    createCall({at: 'c2/1', atMs: 140, run: 'g/2', endpointRevision: 4}),
  ]);
  for (const each of known) {
    assert.deepEqual(each, {
      run: 'g/2',
      atMs: 140,
      configuration: 0,
      endpoints: ['c2/1: 4'],
    });
  }
});

// Guards against a restarted gateway of an earlier version that counts as informed.
test('without a run the last call counts', () => {
  const known = recordInAllOrders([
    createCall({run: undefined, endpointRevision: 7}),
    createCall({run: undefined, at: 'c2/1', atMs: 140, endpointRevision: 4}),
  ]);
  for (const each of known) assert.deepEqual(each.endpoints, ['c2/1: 4']);
});

test('a call that tells no run does not join those that do', () => {
  const known = recordInAllOrders([
    createCall({endpointRevision: 7}),
    createCall({run: undefined, at: 'c2/1', atMs: 140}),
  ]);
  for (const each of known) assert.deepEqual(each.endpoints, ['c2/1: 0']);
});

// Guards against runs of core daemons that are kept as long as a gateway runs.
test('calls are forgotten, and gateways after their last one', () => {
  const gateways = new KnownGateways();
  gateways.record('g', createCall({endpointRevision: 7}));
  gateways.record('g', createCall({at: 'c2/1', atMs: 200}));
  gateways.prune(150);
  assert.deepEqual([...(gateways.find('g')?.calls.keys() ?? [])], ['c2/1']);
  assert.deepEqual(gateways.listAfter(150), ['g']);
  gateways.prune(250);
  assert.equal(gateways.find('g'), undefined);
});

test.run();
