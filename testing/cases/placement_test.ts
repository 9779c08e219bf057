/** Versions that no engine serves get loaded, also after a leader's death. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import type {HandledOrder} from '../stand_ins/order_handler.ts';
import {hashKey, System, waitFor} from '../system/system.ts';

const place = {region: 'plovdiv', dataCentre: 'plovdiv-a'};

const price = {prompt_price: 1, completion_price: 1, expected_quality: 0.9};

function createDeclaration(version: number, names: readonly string[]) {
  return {
    version,
    pools: [{name: 'drafting'}],
    versions: names.map(name => ({
      model: 'draft',
      name,
      pool: 'drafting',
      ...price,
    })),
    customers: [
      {name: 'desk', key_sha256: hashKey('k'), versions: ['draft/*']},
    ],
    placement: {load_s: 1, concurrent_loads: 2},
  };
}

async function readOrders(
  system: System,
  name: string,
): Promise<HandledOrder[]> {
  const address = system.getEndpointAddress(name);
  const response = await request(`http://${address}/orders`);
  return (await response.body.json()) as HandledOrder[];
}

test('a new leader loads versions with a higher fencing number', async () => {
  await using system = await System.start({
    hosts: ['a1', 'a2', 'a3'].map(name => ({name, ...place, disk: true})),
    endpoints: ['e1', 'e2'].map(name => ({
      name,
      kind: 'engine' as const,
      ...place,
      pool: 'drafting',
      versionSlots: 2,
      announceTo: ['a1', 'a2'],
    })),
  });
  await system.waitForAllHosts();
  const hasVersion = async (version: string) => {
    const {endpoints} = await system.readStatus('a1');
    return endpoints.some(each => each.versions.includes(version));
  };
  await system.apply('a1', createDeclaration(1, ['v1']));
  await waitFor('v1 is loaded', () => hasVersion('draft/v1'));
  const leader = await system.findLeader();
  await system.daemons.get(leader)?.kill();
  const other = leader === 'a1' ? 'a2' : 'a1';
  await system.apply(other, createDeclaration(2, ['v1', 'v2']));
  system.daemons.get(leader)?.start();
  await system.waitForHost('a1');
  await waitFor('v2 is loaded', () => hasVersion('draft/v2'));
  const orders = (
    await Promise.all(['e1', 'e2'].map(name => readOrders(system, name)))
  ).flat();
  const fencingOf = (version: string) =>
    orders.filter(each => each.version === version).map(each => each.fencing);
  const oldest = Math.max(...fencingOf('draft/v1').slice(0, 1));
  assert.ok(fencingOf('draft/v2').every(fencing => fencing > oldest));
});

test.run();
