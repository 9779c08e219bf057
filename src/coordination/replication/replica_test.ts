import fc from 'fast-check';
import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {recoverLog} from '../../state/log/recover_log.ts';
import {createUnresponsivePeer, openMember} from './member_fake.ts';
import type {ReplicaPeer} from './peer_replicator.ts';
import {SimulatedGroup} from './simulated_group.ts';

/** The longest time to the first commit after the loss of a leader. */
const WRITE_GAP_MS = 3_000;

/** The time within which a lost disk or voter must be replaced. */
const REPAIR_MS = 25_000;

function createRandom(seed: number): () => number {
  const generator = xorshift128plus(seed);
  return () => uniformFloat64(generator);
}

async function startGroup(hosts: string[], voterCount = 3, seed = 1) {
  const random = createRandom(seed);
  const group = new SimulatedGroup({hosts, voterCount, random});
  await group.startAll();
  const isElected = await group.runUntil(
    () => group.listLeaders().length === 1,
    5_000,
  );
  assert.ok(isElected, 'a leader is elected');
  return group;
}

/** Proposes until committed; returns the time taken in ms. */
async function commit(group: SimulatedGroup, command: string): Promise<number> {
  const startedAt = group.clock.monotonic();
  let done = false;
  let asked: string | undefined;
  const committed = await group.runUntil(() => {
    const [leader] = group.listLeaders();
    if (leader !== asked && !done) {
      asked = leader;
      void group.propose(command)?.then(reply => {
        if (reply.type === 'committed') done = true;
        else asked = undefined;
      });
    }
    return done;
  }, 30_000);
  assert.ok(committed, `"${command}" is committed`);
  return group.clock.monotonic() - startedAt;
}

function getLeader(group: SimulatedGroup): string {
  const [leader] = group.listLeaders();
  if (leader === undefined) throw new Error('Could not find a leader');
  return leader;
}

test('writes resume within the limit after a leader crash', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const group = await startGroup(['a', 'b', 'c'], 3, seed);
    await commit(group, 'first');
    group.crash(getLeader(group));
    const gapMs = await commit(group, 'second');
    assert.ok(gapMs <= WRITE_GAP_MS, `seed ${seed}: ${gapMs} ms`);
    assert.equal(group.violations, []);
  }
});

test('a leader that shuts down transfers leadership at once', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  await commit(group, 'first');
  const host = group.getHost(getLeader(group));
  const disposed = host.replica?.[Symbol.asyncDispose]();
  const gapMs = await commit(group, 'second');
  await disposed;
  assert.ok(gapMs < 500, `${gapMs} ms`);
});

test('a host with a lost disk votes again as a new incarnation', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  for (let n = 0; n < 30; n++) await commit(group, `before ${n}`);
  const [lost] = ['a', 'b', 'c'].filter(name => name !== getLeader(group));
  const old = group.getHost(lost as string).incarnation;
  group.loseDisk(lost as string);
  await group.start(lost as string);
  assert.is.not(group.getHost(lost as string).incarnation, old);
  assert.ok(
    await group.runUntil(() => group.isHealthy(), REPAIR_MS),
    'repaired',
  );
  // The loss of a second disk right after the repair loses no command.
  const leader = getLeader(group);
  group.loseDisk(leader);
  await commit(group, 'after');
  const survivor = group.getHost(getLeader(group)).recorder.commands;
  assert.is(survivor.filter(each => each.startsWith('before')).length, 30);
  assert.equal(group.violations, []);
});

test('a host with an empty disk never forms a second group', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  await commit(group, 'first');
  for (const name of ['b', 'c']) group.crash(name);
  group.loseDisk('a');
  await group.start('a');
  await group.run(10_000);
  assert.is(group.getHost('a').replica?.membership, null);
  await group.start('b');
  await group.start('c');
  assert.ok(
    await group.runUntil(() => group.isHealthy(), REPAIR_MS),
    'repaired',
  );
  assert.equal(group.getHost('a').recorder.commands, ['first']);
});

test('a permanently lost voter is replaced by a spare host', async () => {
  const group = await startGroup(['a', 'b', 'c', 'd']);
  await commit(group, 'first');
  const [lost] = ['a', 'b', 'c'].filter(name => name !== getLeader(group));
  group.loseDisk(lost as string);
  assert.ok(
    await group.runUntil(() => group.isHealthy(), REPAIR_MS),
    'replaced',
  );
  group.crash(getLeader(group));
  await commit(group, 'second');
  await group.run(1_000);
  assert.equal(group.getHost('d').recorder.commands, ['first', 'second']);
});

test('a group of three hosts grows to five distinct voters', async () => {
  const hosts = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
  const random = createRandom(7);
  const group = new SimulatedGroup({
    hosts,
    voterCount: 5,
    bootstrapHostCount: 3,
    random,
  });
  await group.startAll();
  assert.ok(await group.runUntil(() => group.isHealthy(), REPAIR_MS), 'grown');
  await commit(group, 'first');
  assert.equal(group.violations, []);
  // Any two of the five may be lost at once, the leader among them.
  const voters = group.getHost(getLeader(group)).replica?.membership?.voters;
  const names = (voters ?? []).map(({name}) => name);
  const others = names.filter(name => name !== getLeader(group));
  group.loseDisk(getLeader(group));
  group.loseDisk(others[3] as string);
  await commit(group, 'second');
  const survivor = group.getHost(getLeader(group)).recorder.commands;
  assert.equal(survivor, ['first', 'second']);
});

test('an isolated member rejoins without an election', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  const leader = getLeader(group);
  const [other] = ['a', 'b', 'c'].filter(name => name !== leader);
  const term = group.getHost(leader).replica?.term;
  group.isolated.add(other as string);
  await group.run(20_000);
  group.isolated.clear();
  await commit(group, 'after');
  assert.is(group.getHost(leader).replica?.term, term);
});

test('a full disk pauses a leader and a failed disk stops it', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  for (const code of ['ENOSPC', 'EIO']) {
    const leader = getLeader(group);
    group.getHost(leader).files.beforeChange = () => {
      throw Object.assign(new Error('disk'), {code});
    };
    void group.propose(code);
    await group.run(100);
    assert.not.ok(group.listLeaders().includes(leader), code);
    await commit(group, `after ${code}`);
    group.crash(leader);
    group.getHost(leader).files.beforeChange = () => {};
    await group.start(leader);
    await group.run(3_000);
  }
  assert.equal(group.violations, []);
});

test('a suspended leader does not lead when it resumes', async () => {
  for (let seed = 1; seed <= 10; seed++) {
    const group = await startGroup(['a', 'b', 'c'], 3, seed);
    await commit(group, 'first');
    const frozen = getLeader(group);
    const {clock, replica} = group.getHost(frozen);
    clock.freeze();
    await group.run(700);
    await commit(group, 'second');
    clock.resume();
    assert.not.ok(replica?.isLeader());
    const reply = await replica?.propose('stale');
    assert.is(reply?.type, 'not-leader');
    await group.run(3_000);
    assert.equal(group.violations, []);
    // A retried proposal may be applied twice; commands are idempotent.
    const {commands} = group.getHost(frozen).recorder;
    assert.equal([...new Set(commands)], ['first', 'second']);
  }
});

test('an operator recovers a lost majority from the survivor', async () => {
  const group = await startGroup(['a', 'b', 'c']);
  for (let n = 0; n < 15; n++) await commit(group, `command ${n}`);
  const survivor = getLeader(group);
  for (const name of ['a', 'b', 'c']) {
    if (name === survivor) group.crash(name);
    else group.loseDisk(name);
  }
  const log = await group.openLog(survivor);
  await recoverLog(log, survivor);
  await log[Symbol.asyncDispose]();
  await group.startAll();
  await commit(group, 'after');
  assert.ok(
    await group.runUntil(() => group.isHealthy(), REPAIR_MS),
    'healthy',
  );
  const {commands} = group.getHost(getLeader(group)).recorder;
  assert.is(commands.length, 16);
  assert.equal(group.violations, []);
});

test('an earlier-term entry is not committed by replica count', async () => {
  let acknowledged = 1;
  const neverReply = () => new Promise<never>(() => {});
  const getPeer = (name: string): ReplicaPeer => ({
    ...createUnresponsivePeer(),
    vote: async ({term}) =>
      name === 'b' ? {term: term - 1, granted: true} : neverReply(),
    append: async ({term}) => {
      if (name !== 'b') return neverReply();
      await clock.sleep(5);
      return {term, accepted: true, matchIndex: acknowledged, formed: true};
    },
    transferLeadership: async () => ({stands: false}),
  });
  const {clock, replica} = await openMember({
    entries: [{index: 1, term: 2, command: 'old'}],
    term: 3,
    getPeer,
  });
  replica.start();
  await clock.advance(1_600);
  assert.is(replica.term, 4);
  assert.is(replica.applied, 0);
  acknowledged = 2;
  await clock.advance(500);
  assert.is(replica.applied, 2);
});

type Action =
  | {type: 'propose'; count: number}
  | {type: 'run'; ms: number}
  | {type: 'crash' | 'start' | 'lose-disk' | 'isolate'; host: number}
  | {type: 'heal'}
  | {type: 'network'; drop: number; duplicate: number; maxDelayMs: number};

const hostIndex = fc.nat({max: 4});
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('propose' as const),
      count: fc.integer({min: 1, max: 6}),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('run' as const),
      ms: fc.integer({min: 5, max: 3_000}),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constantFrom(
        'crash' as const,
        'start' as const,
        'start' as const,
        'lose-disk' as const,
        'isolate' as const,
      ),
      host: hostIndex,
    }),
  },
  {weight: 3, arbitrary: fc.constant<Action>({type: 'heal'})},
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('network' as const),
      drop: fc.constantFrom(0, 0, 0.05, 0.3),
      duplicate: fc.constantFrom(0, 0.2),
      maxDelayMs: fc.constantFrom(4, 60, 900),
    }),
  },
);

/** Runs a history; returns the commands acknowledged as committed. */
async function runHistory(group: SimulatedGroup, actions: readonly Action[]) {
  const acknowledged: string[] = [];
  const names = [...group.hosts.keys()];
  let serial = 0;
  for (const action of actions) {
    if (action.type === 'run') await group.run(action.ms);
    else if (action.type === 'heal') group.isolated.clear();
    else if (action.type === 'network') Object.assign(group.network, action);
    else if (action.type === 'propose') {
      for (let n = 0; n < action.count; n++) {
        const command = `command ${serial++}`;
        void group.propose(command)?.then(reply => {
          if (reply.type === 'committed') acknowledged.push(command);
        });
      }
      await group.run(30);
    } else {
      const name = names[action.host % names.length] as string;
      if (action.type === 'crash') group.crash(name);
      else if (action.type === 'start') await group.start(name);
      else if (action.type === 'isolate') group.isolated.add(name);
      // The group only promises to survive the loss of a disk if healthy.
      else if (group.isHealthy()) group.loseDisk(name);
    }
  }
  return acknowledged;
}

/**
 * Ends all faults, then checks that all voters converge on the same commands
 * and that no acknowledged command is missing.
 */
async function checkConvergence(
  group: SimulatedGroup,
  acknowledged: readonly string[],
) {
  Object.assign(group.network, {drop: 0, duplicate: 0, maxDelayMs: 4});
  group.isolated.clear();
  await group.startAll();
  await commit(group, 'last');
  assert.ok(await group.runUntil(() => group.isHealthy(), 60_000), 'healthy');
  const hasConverged = () =>
    new Set(
      [...group.hosts.values()]
        .filter(host => group.isVoter(host))
        .map(host => host.replica?.applied),
    ).size === 1;
  assert.ok(await group.runUntil(hasConverged, 10_000), 'all voters catch up');
  assert.equal(group.violations, []);
  const leader = group.getHost(getLeader(group));
  const {commands} = leader.recorder;
  const missing = acknowledged.filter(each => !commands.includes(each));
  assert.equal(missing, [], 'no acknowledged command is lost');
  for (const voter of leader.replica?.membership?.voters ?? []) {
    assert.equal(group.getHost(voter.name).recorder.commands, commands);
  }
}

test('no history loses, changes or forks committed commands', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(actionArbitrary, {minLength: 5, maxLength: 60}),
      fc.integer({min: 1, max: 1e9}),
      fc.constantFrom(3, 5),
      async (actions, seed, hostCount) => {
        const names = ['a', 'b', 'c', 'd', 'e'].slice(0, hostCount);
        const group = await startGroup(names, 3, seed);
        const acknowledged = await runHistory(group, actions);
        await checkConvergence(group, acknowledged);
      },
    ),
    {
      seed: Number(process.env['LOG_TEST_SEED'] ?? 20261203),
      numRuns: Number(process.env['LOG_TEST_RUNS'] ?? 300),
      includeErrorInReport: true,
      interruptAfterTimeLimit:
        Number(process.env['LOG_TEST_SECONDS'] ?? 600) * 1_000,
    },
  );
});

test.run();
