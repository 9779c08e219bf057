/**
 * Guards against units that sum up to more than the total, and against units where
 * nobody has requests.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {computeUnits} from './compute_units.ts';

const ENDPOINT = {id: 'e1', region: 'r0', dataCentre: 'd0'};

/** Gateways in 6 data centres and 2 regions: d0, d2 and d4 in r0. */
function createGateways(count: number): Gateway[] {
  return Array.from({length: count}, (_, index) => ({
    address: `g${index}`,
    region: `r${index % 2}`,
    dataCentre: `d${index % 6}`,
    open: true,
  }));
}

function countUnits(
  gateways: readonly Gateway[],
  total: number,
): Map<string, number> {
  return new Map(
    gateways.map(({address, idle}) => [
      address,
      computeUnits({
        gateways,
        address,
        endpoint: ENDPOINT,
        isIdle: idle ?? false,
        total,
      }).length,
    ]),
  );
}

test('computeUnits() divides the total among gateways of all numbers', () => {
  for (const count of [1, 2, 5, 16, 17, 18, 56, 79]) {
    const gateways = createGateways(count);
    const positions = gateways.flatMap(({address}) =>
      computeUnits({
        gateways,
        address,
        endpoint: ENDPOINT,
        isIdle: false,
        total: 17,
      }),
    );
    const sorted = positions.sort((a, b) => a - b);
    assert.deepEqual(
      sorted,
      Array.from({length: 17}, (_, index) => index),
    );
  }
});

test('computeUnits() prefers the data centre, then the region', () => {
  const gateways = createGateways(79);
  const units = countUnits(gateways, 17);
  const holders = gateways.filter(({address}) => units.get(address));
  // 14 gateways are in the data centre.
  assert.equal(holders.filter(each => each.dataCentre === 'd0').length, 14);
  assert.ok(holders.every(({region}) => region === 'r0'));
  assert.ok([...units.values()].every(count => count <= 1));
});

// Guards against an endpoint that gets nothing, since the near gateways are down.
test('computeUnits() reaches gateways far away when none is near', () => {
  const far = createGateways(79).filter(({region}) => region === 'r1');
  const units = countUnits(far, 17);
  assert.equal([...units.values()].filter(count => count === 1).length, 17);
});

// Guards against gateways that both take a unit while a third is known to one.
test('computeUnits() takes units only away for a longer list', () => {
  const gateways = createGateways(40);
  for (let count = 1; count < 40; count++) {
    const shorter = countUnits(gateways.slice(0, count), 17);
    const longer = countUnits(gateways.slice(0, count + 1), 17);
    for (const [address, units] of shorter) {
      assert.ok((longer.get(address) ?? 0) <= units);
    }
  }
});

// Guards against units near the endpoint where nobody has requests.
test('computeUnits() passes over gateways without requests', () => {
  const gateways = createGateways(79).map(each =>
    each.dataCentre === 'd0' ? {...each, idle: true} : each,
  );
  const units = countUnits(gateways, 17);
  const holders = gateways.filter(({address}) => units.get(address));
  assert.equal(holders.length, 17);
  assert.ok(holders.every(each => each.region === 'r0' && !('idle' in each)));
  // All may get a few requests.
  const idle = createGateways(79).map(each => ({...each, idle: true}));
  const sum = [...countUnits(idle, 17).values()].reduce((a, b) => a + b, 0);
  assert.equal(sum, 17);
});

// Guards against units that two gateways hold, one of which is not idle any more.
test('computeUnits() keeps to the total while some do not know who is idle', () => {
  const gateways = createGateways(40);
  const outdated = gateways.map((each, index) =>
    index % 3 === 0 ? {...each, idle: true} : each,
  );
  let sum = 0;
  for (const [index, {address}] of gateways.entries()) {
    const positions = computeUnits({
      gateways: index % 2 === 0 ? gateways : outdated,
      address,
      endpoint: ENDPOINT,
      isIdle: index % 3 === 0,
      total: 17,
    });
    sum += positions.length;
  }
  assert.ok(sum <= 17, `${sum} units`);
});

test.run();
