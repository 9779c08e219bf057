/** Guards against callers without a gateway while the core is unreachable. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {
  replaceGateway,
  selectGateways,
  type CallerPlace,
} from './select_gateways.ts';

function createGateway(address: string, dataCentre: string): Gateway {
  const region = dataCentre.slice(0, 1);
  return {address, region, dataCentre, open: true};
}

const GATEWAYS = [
  createGateway('1', 'n1'),
  createGateway('2', 'n1'),
  createGateway('3', 'n2'),
  createGateway('4', 's1'),
];

function list(place: CallerPlace, gateways: readonly Gateway[] = GATEWAYS) {
  return selectGateways(gateways, place).map(({address}) => address);
}

test("selectGateways() lists those of the caller's data centre", () => {
  const place = {region: 'n', dataCentre: 'n1'};
  assert.deepEqual(list(place), ['1', '2']);
});

test('selectGateways() adds the region if a single gateway is local', () => {
  const place = {region: 'n', dataCentre: 'n2'};
  assert.deepEqual(list(place), ['1', '2', '3']);
});

test('selectGateways() lists all if the region has none', () => {
  const place = {region: 'w', dataCentre: 'w1'};
  assert.deepEqual(list(place), ['1', '2', '3', '4']);
});

// Guards against a data centre of two hosts whose callers get a slowed one each
// second time.
test('selectGateways() adds the region if all but one are far slower', () => {
  const place = {region: 'n', dataCentre: 'n1'};
  const slowed = (slowness: number, ...addresses: string[]) =>
    GATEWAYS.map(each =>
      addresses.includes(each.address) ? {...each, slowness} : each,
    );
  assert.deepEqual(list(place, slowed(1, '1')), ['1', '2']);
  assert.deepEqual(list(place, slowed(2, '1')), ['1', '2', '3']);
  // Nothing is gained elsewhere.
  assert.deepEqual(list(place, slowed(2, '1', '2', '3')), ['1', '2']);
});

test('replaceGateway() omits a gateway that is closing', () => {
  const [self, ...others] = GATEWAYS;
  assert.ok(self);
  assert.deepEqual(replaceGateway(GATEWAYS, {...self, open: false}), others);
});

test('replaceGateway() adds a gateway that is not listed yet', () => {
  const self = createGateway('5', 'n2');
  assert.deepEqual(replaceGateway(GATEWAYS, self), [...GATEWAYS, self]);
});

test.run();
