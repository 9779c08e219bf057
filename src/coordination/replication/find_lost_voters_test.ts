/** Tests which voters a running group takes for lost. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {formatMember} from './member.ts';
import {SimulatedGroup} from './simulated_group.ts';

const NINE = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];

const VOTER_COUNT = 5;

/** Longer than a start by which a member may be the successor of a voter. */
const CALM_MS = 30_000;

/** Shorter than the silence after which a voter is replaced without evidence. */
const RESTART_MS = 3_000;

/** The time until a voter is replaced for its silence alone, and 4 s. */
const REPLACE_MS = 12_000;

async function startNine(): Promise<SimulatedGroup> {
  const random = createDraws(1).next;
  const group = new SimulatedGroup({
    hosts: NINE,
    voterCount: VOTER_COUNT,
    random,
  });
  await group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), 5_000), 'formed');
  return group;
}

function getLeader(group: SimulatedGroup): string {
  const [leader] = group.listLeaders();
  if (leader === undefined) throw new Error('Could not find a leader');
  return leader;
}

function listVoters(group: SimulatedGroup): string[] {
  const {replica} = group.getHost(getLeader(group));
  return (replica?.membership?.voters ?? []).map(formatMember).sort();
}

function listOthers(group: SimulatedGroup): string[] {
  const leader = getLeader(group);
  return NINE.filter(name => name !== leader && group.hosts.has(name));
}

/** Lists the hosts that have got no entries yet. */
function listIdle(group: SimulatedGroup): string[] {
  return NINE.filter(name => group.getHost(name).replica?.membership === null);
}

/** Lets all writes of a host fail from now on. */
function failDisk(group: SimulatedGroup, name: string): void {
  group.getHost(name).files.beforeChange = () => {
    throw Object.assign(new Error('the disk failed'), {code: 'EIO'});
  };
}

async function restart(group: SimulatedGroup, name: string, ms: number) {
  group.crash(name);
  await group.run(ms);
  await group.start(name);
}

// Guards against needless changes of voters in a rolling restart: an idle spare
// that restarts has an empty disk, but not a new one.
test('a voter that restarts is not replaced because a spare restarted before', async () => {
  const group = await startNine();
  await group.run(CALM_MS);
  const voters = listVoters(group);
  const [idle] = listIdle(group);
  const voter = listOthers(group).find(name =>
    group.isVoter(group.getHost(name)),
  );
  assert.ok(idle !== undefined && voter !== undefined);
  await restart(group, idle, 1_000);
  await restart(group, voter, RESTART_MS);
  await group.run(2_000);
  assert.equal(listVoters(group), voters);
  assert.equal(group.violations, []);
});

// Guards against needless changes of voters under a new leader, to which a new
// member was evidence of a second loss, as the first was repaired before.
test('a new member is evidence of one loss, also for the next leader', async () => {
  const group = await startNine();
  await group.run(CALM_MS);
  const [lost] = listOthers(group).filter(name =>
    group.isVoter(group.getHost(name)),
  );
  assert.ok(lost !== undefined);
  group.loseDisk(lost);
  const successor = listIdle(group)[0];
  assert.ok(successor !== undefined);
  group.loseDisk(successor);
  await group.run(1_500);
  await group.start(successor);
  await group.run(2_500);
  const voters = listVoters(group);
  assert.not(voters.some(voter => voter.startsWith(`${lost}/`)));
  await restart(group, getLeader(group), RESTART_MS);
  await group.run(2_000);
  assert.equal(listVoters(group), voters);
  assert.equal(group.violations, []);
});

// Guards against a lost disk that is never replaced: a replica whose disk failed
// goes on running, and its description was taken for that of a sound voter.
test('a voter whose disk has failed is replaced while its host still answers', async () => {
  const group = await startNine();
  await group.run(CALM_MS);
  const [failed] = listOthers(group).filter(name =>
    group.isVoter(group.getHost(name)),
  );
  assert.ok(failed !== undefined);
  failDisk(group, failed);
  void group.propose('written');
  await group.run(REPLACE_MS);
  assert.not(group.isVoter(group.getHost(failed)), 'replaced');
  assert.equal(group.violations, []);
});

// Guards against a spare that never catches up and keeps others from its place.
test('a spare whose disk has failed makes room for another one', async () => {
  const group = await startNine();
  await group.run(CALM_MS);
  const spares = NINE.filter(
    name =>
      !group.isVoter(group.getHost(name)) && !listIdle(group).includes(name),
  );
  for (const spare of spares) failDisk(group, spare);
  void group.propose('written');
  await group.run(1_000);
  const [lost] = listOthers(group).filter(name =>
    group.isVoter(group.getHost(name)),
  );
  assert.ok(spares.length > 0 && lost !== undefined);
  group.crash(lost);
  await group.run(REPLACE_MS);
  assert.not(group.isVoter(group.getHost(lost)), 'replaced');
  assert.equal(group.violations, []);
});

test.run();
