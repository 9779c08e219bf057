/** Guards against single losses of core daemons that the drawn histories contain. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {createDraws} from '../../protocol/seeded_draws.ts';
import {SimulatedGroup} from './simulated_group.ts';

/** Without a leader that commits, after the loss of a leader. */
const MAX_LEADERLESS_MS = 3_000;

/** The interval of the losses, and the time from each to its successor. */
const INCIDENT_LOSS_MS = 9_000;
const INCIDENT_SUCCESSOR_MS = 2_000;

const FIVE_HOSTS = ['a', 'b', 'c', 'd', 'e'];

async function startGroup(
  hosts: readonly string[] = FIVE_HOSTS,
): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({
    hosts,
    voterCount: FIVE_HOSTS.length,
    random: createDraws(1).next,
    hasDiscovery: true,
  });
  await group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), 5_000), 'formed');
  return group;
}

/** Proposes to leaders until a command is committed; false after `limitMs`. */
async function commit(
  group: SimulatedGroup,
  command: string,
  limitMs: number,
): Promise<boolean> {
  const {clock} = group;
  const startedAt = clock.monotonic();
  let isCommitted = false;
  while (!isCommitted && clock.monotonic() - startedAt < limitMs) {
    void group.propose(command)?.then(({type}) => {
      isCommitted ||= type === 'committed';
    });
    await group.run(100);
  }
  return isCommitted;
}

// Guards against incident CONFIG: one core daemon was lost each 9 s, and a lost
// voter was replaced only after a silence that began anew with each leader, so
// that three of five voters were gone before the first was replaced.
test('a group outlives the losses of a voter, its leader and another voter 9 s apart', async () => {
  const group = await startGroup();
  const original = [...group.hosts.keys()];
  const listOthers = () => {
    const [leader] = group.listLeaders();
    return original.filter(name => group.hosts.has(name) && name !== leader);
  };
  assert.ok(await commit(group, 'before', 2_000));
  const victims = [
    () => listOthers()[0],
    () => group.listLeaders()[0],
    () => listOthers()[0],
  ];
  for (const [index, chooseVictim] of victims.entries()) {
    const victim = chooseVictim();
    assert.ok(victim !== undefined, `loss ${index + 1}: a leader`);
    group.removeHost(victim);
    await group.run(INCIDENT_SUCCESSOR_MS);
    const successor = `successor ${index + 1}`;
    group.addHost(successor);
    await group.start(successor);
    await group.run(INCIDENT_LOSS_MS - INCIDENT_SUCCESSOR_MS);
  }
  assert.ok(await commit(group, 'after', 5_000), 'commits after the losses');
  const [leader = ''] = group.listLeaders();
  const {commands} = group.getHost(leader).recorder;
  assert.deepEqual([...new Set(commands)], ['before', 'after']);
  assert.deepEqual(group.violations, []);
});

/** The silence after which a voter without a successor is replaced. */
const REPLACE_AFTER_MS = 8_000;

/** Old enough a disk that its member is nobody's successor. */
const SPARE_AGE_MS = 30_000;

// Guards against evidence that begins anew with each leader: a voter that fell
// silent under one leader was replaced only after a whole silence under the next.
test('a group goes on counting a silence under its next leader', async () => {
  const group = await startGroup([...FIVE_HOSTS, 'f', 'g']);
  await group.run(SPARE_AGE_MS);
  const [leader = ''] = group.listLeaders();
  const victim = [...group.hosts.values()].find(
    host => host.name !== leader && group.isVoter(host),
  );
  assert.ok(victim);
  group.crash(victim.name);
  await group.run(REPLACE_AFTER_MS - 2_000);
  assert.deepEqual(group.listLeaders(), [leader]);
  assert.ok(group.isVoter(victim), 'not replaced by the first leader');
  group.crash(leader);
  const isReplaced = () =>
    group.listLeaders().length > 0 && !group.isVoter(victim);
  const limitMs = 2_000 + MAX_LEADERLESS_MS;
  assert.ok(await group.runUntil(isReplaced, limitMs), 'replaced');
  assert.deepEqual(group.violations, []);
});

test.run();
