import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {Host} from '../../protocol/control.ts';
import {listAddresses} from './list_addresses.ts';

function createHost(name: string, changes: Partial<Host> = {}): Host {
  return {
    name,
    region: 'north',
    dataCentre: 'launceston',
    publicAddress: name,
    peerAddress: name,
    gateway: true,
    leaving: false,
    ...changes,
  };
}

function list(hosts: readonly Host[], tieBreakers: number[]): string[] {
  const options = {
    region: 'north',
    dataCentre: 'launceston',
    draining: new Set(['drained']),
    random: () => tieBreakers.shift() ?? 0,
  };
  return listAddresses(hosts, options).map(each => each.address);
}

test('listAddresses() lists near gateways first and omits closed ones', () => {
  const hosts = [
    createHost('far', {region: 'south', dataCentre: 'hobart'}),
    createHost('next', {dataCentre: 'devonport'}),
    createHost('near'),
    createHost('leaving', {leaving: true}),
    createHost('replica', {gateway: false}),
    createHost('drained'),
  ];
  assert.equal(list(hosts, []), ['near', 'next', 'far']);
});

test('listAddresses() spreads callers over equally near gateways', () => {
  const hosts = [createHost('a'), createHost('b'), createHost('c')];
  assert.equal(list(hosts, [0.9, 0.1, 0.5]), ['b', 'c', 'a']);
  assert.equal(list(hosts, [0.2, 0.8, 0.1]), ['c', 'a', 'b']);
});

test.run();
