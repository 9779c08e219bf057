/** Tests that hosts which come back with their disks keep their votes. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {formatMember} from './member.ts';
import {SimulatedGroup} from './simulated_group.ts';

const HOSTS = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];

const SEEDS = 20;

/** Longer than a start by which a member may be the successor of a voter. */
const CALM_MS = 10_000;

async function startGroup(seed: number): Promise<SimulatedGroup> {
  const random = createDraws(seed).next;
  const group = new SimulatedGroup({hosts: HOSTS, voterCount: 5, random});
  await group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), 5_000), 'formed');
  return group;
}

/** Describes the leader's voters, and names it and another voter. */
function describeGroup(group: SimulatedGroup) {
  const [leader = ''] = group.listLeaders();
  const {replica} = group.getHost(leader);
  const voters = (replica?.membership?.voters ?? []).map(formatMember).sort();
  const other = HOSTS.find(
    name => name !== leader && group.isVoter(group.getHost(name)),
  );
  assert.ok(other !== undefined, 'a leader with another voter');
  return {leader, other, voters};
}

// Guards against spares of a new system that are taken for successors.
test('a voter that restarts in a new group is not replaced', async () => {
  const wrong: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const group = await startGroup(seed);
    const {other, voters} = describeGroup(group);
    group.crash(other);
    await group.run(3_000);
    await group.start(other);
    await group.run(2_000);
    const {voters: after} = describeGroup(group);
    if (after.join() !== voters.join()) wrong.push(seed);
  }
  assert.equal(wrong, []);
});

// Guards against voters that count as lost because the leader itself did not
// run, so that it has not had their answers yet.
test('a pause of all hosts at once changes no voters', async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const group = await startGroup(seed);
    await group.run(CALM_MS);
    const {voters} = describeGroup(group);
    for (const {clock} of group.hosts.values()) clock.freeze();
    await group.run(9_000);
    for (const {clock} of group.hosts.values()) clock.resume();
    await group.run(5_000);
    assert.equal(describeGroup(group).voters, voters, `seed ${seed}`);
    assert.equal(group.violations, []);
  }
});

// Guards against a leader that takes the time for which it was cut off itself
// for the silence of others.
test('a leader that was cut off before does not replace one that restarts', async () => {
  const wrong: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const group = await startGroup(seed);
    await group.run(CALM_MS);
    const {leader, other, voters} = describeGroup(group);
    group.isolated.add(other);
    await group.run(6_000);
    group.crash(leader);
    group.isolated.delete(other);
    await group.run(4_000);
    await group.start(leader);
    await group.run(3_000);
    const {voters: after} = describeGroup(group);
    if (after.join() !== voters.join()) wrong.push(seed);
  }
  assert.equal(wrong, []);
});

test.run();
