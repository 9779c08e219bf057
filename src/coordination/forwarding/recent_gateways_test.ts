/**
 * Guards against shares that grow because a core daemon lists only some
 * gateways, as after its start.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {RecentGateways} from './recent_gateways.ts';

function createGateways(...addresses: string[]): Gateway[] {
  return addresses.map(address => ({
    address,
    region: 'r',
    dataCentre: 'a',
    open: true,
  }));
}

test('list() counts a gateway for some time after it left', async () => {
  const clock = new SimulatedClock();
  let listed = createGateways('a', 'b', 'c');
  const recent = new RecentGateways({clock, listGateways: () => listed});
  assert.deepEqual(recent.list(), ['a', 'b', 'c']);
  listed = createGateways('a');
  assert.deepEqual([...recent.list()].sort(), ['a', 'b', 'c']);
  assert.equal(recent.isListed('b'), false);
  await clock.advance(3_000);
  listed = createGateways('a', 'c', 'd');
  assert.deepEqual([...recent.list()].sort(), ['a', 'b', 'c', 'd']);
  assert.equal(recent.isListed('c'), true);
  await clock.advance(3_000);
  assert.deepEqual([...recent.list()].sort(), ['a', 'c', 'd']);
});

test('list() returns the same array while nothing changes', async () => {
  const clock = new SimulatedClock();
  const listed = createGateways('a', 'b');
  const recent = new RecentGateways({clock, listGateways: () => listed});
  const before = recent.list();
  await clock.advance(10_000);
  assert.equal(recent.list(), before);
});

test.run();
