/** Tests a leader that was cut off from the group before its election. */
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
