/** Tests a group all of whose hosts are replaced, one after the other. */
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {SimulatedGroup} from './simulated_group.ts';

const FIRST_HOSTS = ['a', 'b', 'c', 'd', 'e'];
const SUCCESSORS = ['f', 'g', 'h', 'i', 'j'];

/** From the loss of a host to the start of its successor. */
const SUCCESSOR_DELAY_MS = 2_000;

/** From the start of a successor until it counts as caught up. */
const CATCH_UP_MS = 4_000;

/** The longest time to a commit after the loss of a leader. */
const WRITE_GAP_MS = 3_000;

function createGroup(seed: number): SimulatedGroup {
  const generator = xorshift128plus(seed);
  return new SimulatedGroup({
    hosts: [...FIRST_HOSTS, ...SUCCESSORS],
    bootstrapHostCount: FIRST_HOSTS.length,
    voterCount: FIRST_HOSTS.length,
    random: () => uniformFloat64(generator),
  });
}

function getLeader(group: SimulatedGroup): string {
  const [leader] = group.listLeaders();
  if (leader === undefined) throw new Error('Could not find a leader');
  return leader;
}

async function commit(
  group: SimulatedGroup,
  command: string,
): Promise<boolean> {
  let isCommitted = false;
  let asked: string | undefined;
  return group.runUntil(() => {
    const [leader] = group.listLeaders();
    if (leader !== asked && !isCommitted) {
      asked = leader;
      void group.propose(command)?.then(reply => {
        if (reply.type === 'committed') isCommitted = true;
        else asked = undefined;
      });
    }
    return isCommitted;
  }, WRITE_GAP_MS);
}

// Guards against the loss of a majority for good: each replacement came later
// than the next loss, because each new leader counted the silence of a lost
// voter from its own election, or removed the successor in its place.
test('a group survives the replacement of all hosts, the leader second', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = createGroup(seed);
    for (const host of FIRST_HOSTS) await group.start(host);
    assert.ok(await commit(group, 'first'), `seed ${seed}: no leader`);
    const remaining = new Set(FIRST_HOSTS);
    for (const [round, successor] of SUCCESSORS.entries()) {
      const leader = getLeader(group);
      const [other] = [...remaining].filter(host => host !== leader);
      const isLeaderNext = round % 2 === 1 && remaining.has(leader);
      const lost = isLeaderNext ? leader : (other ?? leader);
      remaining.delete(lost);
      group.loseDisk(lost);
      await group.run(SUCCESSOR_DELAY_MS);
      await group.start(successor);
      await group.run(CATCH_UP_MS);
      const isCommitted = await commit(group, `round ${round}`);
      assert.ok(isCommitted, `seed ${seed}: no commit after loss ${round + 1}`);
    }
    const {commands} = group.getHost(getLeader(group)).recorder;
    const expected = ['first', ...SUCCESSORS.map((_, n) => `round ${n}`)];
    assert.equal([...new Set(commands)], expected, `seed ${seed}`);
    assert.equal(group.violations, []);
  }
});

test.run();
