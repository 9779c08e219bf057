import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {
  countBorneLosses,
  hasMajority,
  type LogPosition,
  type SimulatedDisk,
} from './simulated_disks.ts';
import {SimulatedGroup} from './simulated_group.ts';

async function startGroup(hosts: string[]): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({
    hosts,
    voterCount: hosts.length,
    random: createDraws(1).next,
  });
  await group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), 5_000), 'formed');
  return group;
}

function listDisks(group: SimulatedGroup): SimulatedDisk[] {
  return [...group.hosts.values()].flatMap(host =>
    host.storage ? [{member: host, log: host.storage}] : [],
  );
}

/** Lists the hosts, with the leader last. */
function listOthers(group: SimulatedGroup): string[] {
  const [leader] = group.listLeaders();
  return [...group.hosts.keys()].filter(name => name !== leader);
}

/** Returns the last entry that the leader has applied. */
function getNewest(group: SimulatedGroup): LogPosition {
  const [leader = ''] = group.listLeaders();
  const {replica, storage} = group.getHost(leader);
  const index = replica?.applied ?? 0;
  return {index, term: storage?.getTerm(index) ?? 0};
}

test('countBorneLosses() counts lost disks, not hosts that are down', async () => {
  const group = await startGroup(['a', 'b', 'c', 'd', 'e']);
  void group.propose('command');
  await group.run(1_000);
  const newest = getNewest(group);
  const count = () => countBorneLosses(listDisks(group), {newest, limit: 5});
  assert.is(count(), 2);
  const [first = '', second = '', third = '', fourth = ''] = listOthers(group);
  group.crash(first);
  group.crash(second);
  assert.is(count(), 2);
  group.loseDisk(first);
  assert.is(count(), 1);
  group.loseDisk(second);
  assert.is(count(), 0);
  assert.ok(hasMajority(listDisks(group)));
  group.removeHost(third);
  assert.is(count(), -1);
  assert.not.ok(hasMajority(listDisks(group)));
  group.removeHost(fourth);
  assert.is(count(), -1);
});

test('countBorneLosses() bears none if an acknowledged entry is on too few disks', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  const [first = '', second = ''] = listOthers(group);
  const count = (newest: LogPosition) =>
    countBorneLosses(listDisks(group), {newest, limit: 3});
  const before = getNewest(group);
  assert.is(count(before), 1);
  const [leader = ''] = group.listLeaders();
  const log = group.getHost(leader).storage;
  group.isolated.add(first).add(second);
  void group.propose('command');
  await group.run(100);
  const newest = {index: log?.lastIndex ?? 0, term: before.term};
  assert.is(newest.index, before.index + 1);
  assert.is(count(before), 1);
  assert.is(count(newest), -1);
  group.isolated.clear();
  group.isolated.add(second);
  await group.run(900);
  assert.is(count(newest), 1);
});

test.run();
