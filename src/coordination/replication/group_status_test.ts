import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {computeToleratedLosses, listVotersInContact} from './group_status.ts';
import {SimulatedGroup} from './simulated_group.ts';

/** Longer than an election takes. */
const ELECTION_MS = 5_000;

test('getStatus() follows the voters that the leader reaches', async () => {
  const group = new SimulatedGroup({
    hosts: ['a', 'b', 'c'],
    voterCount: 3,
    random: createDraws(1).next,
  });
  await group.startAll();
  await group.run(ELECTION_MS);
  const [leader = ''] = group.listLeaders();
  const followers = ['a', 'b', 'c'].filter(name => name !== leader);
  const [first = '', second = ''] = followers;
  const getStatus = (name: string) => {
    const status = group.getHost(name).replica?.getStatus();
    assert.ok(status, `${name} runs`);
    return status;
  };
  const {leading, appliedIndex, lastIndex} = getStatus(leader);
  assert.ok(leading);
  assert.equal(appliedIndex, lastIndex);
  assert.equal(listVotersInContact(leading).length, 3);
  assert.equal(computeToleratedLosses(leading), 1);
  assert.deepEqual(
    leading.voters.map(({lagEntries}) => lagEntries),
    [0, 0, 0],
  );
  assert.equal(getStatus(first).leader, leader);
  assert.equal(getStatus(first).leading, null);

  group.crash(first);
  await group.run(ELECTION_MS);
  const after = getStatus(leader).leading;
  assert.ok(after);
  assert.equal(listVotersInContact(after).length, 2);
  assert.equal(computeToleratedLosses(after), 0);

  group.crash(second);
  await group.run(ELECTION_MS);
  assert.equal(getStatus(leader).leader, null);
  assert.equal(getStatus(leader).leading, null);
  assert.equal(getStatus(leader).voters.length, 3);
  assert.deepEqual(group.violations, []);
});

test.run();
