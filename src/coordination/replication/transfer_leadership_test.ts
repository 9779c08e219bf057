/** How long a group is without a leader when its leader stops as planned. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {systemClock} from '../../protocol/clock.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedGroup} from './simulated_group.ts';
import {transferLeadership} from './transfer_leadership.ts';

const HOSTS = ['a', 'b', 'c', 'd', 'e'];

/** The longest time until another member leads. */
const MAX_LEADERLESS_MS = 600;

/** Starts a group of five voters; returns it with the name of its leader. */
async function startGroup() {
  let seed = 1;
  const random = () => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
  const group = new SimulatedGroup({hosts: HOSTS, voterCount: 5, random});
  await group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), 20_000));
  await group.run(2_000);
  const [leader] = group.listLeaders();
  if (leader === undefined) throw new Error('Could not find a leader');
  return {group, leader};
}

/** Stops the leader; returns the time until another member leads. */
async function measureLeaderless(
  group: SimulatedGroup,
  leader: string,
): Promise<number> {
  const startedAt = group.clock.monotonic();
  const stopped = group.stop(leader, 5_000);
  const hasNext = () => group.listLeaders().some(each => each !== leader);
  assert.ok(await group.runUntil(hasNext, 10_000));
  await stopped;
  return group.clock.monotonic() - startedAt;
}

// Guards against a leader that gives up its leadership to a voter that does not
// take it, while another one would.
test('a leader that stops finds a successor beside a silent voter', async () => {
  const times: number[] = [];
  for (const offset of [1, 2, 3, 4]) {
    const {group, leader} = await startGroup();
    const index = (HOSTS.indexOf(leader) + offset) % HOSTS.length;
    group.isolated.add(HOSTS[index] ?? '');
    times.push(await measureLeaderless(group, leader));
    assert.equal(group.violations, []);
  }
  assert.ok(
    Math.max(...times) <= MAX_LEADERLESS_MS,
    `without a leader for ${times.join(', ')} ms`,
  );
});

// Guards against taking the refusal of a voter for the end of the transfer.
test('transferLeadership() asks the next voter if one does not stand', async () => {
  const asked: string[] = [];
  const stands = await transferLeadership({
    group: 'group',
    term: 3,
    listSuccessors: () =>
      ['b', 'c', 'd'].map(name => ({name, incarnation: name})),
    getPeer: name => ({
      transferLeadership: async () => {
        asked.push(name);
        return {stands: name === 'c'};
      },
    }),
    clock: systemClock,
    logger: silentLogger,
  });
  assert.is(stands, true);
  assert.equal(asked, ['b', 'c']);
});

test.run();
