import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {AppendRequest} from '../../protocol/replication.ts';
import {openMember} from './member_fake.ts';
import {SimulatedGroup} from './simulated_group.ts';

/** Opens a member that `b` leads, as a learner: it never campaigns. */
async function openFollower() {
  const {clock, replica, storage} = await openMember();
  const callFromLeader = (change: Partial<AppendRequest> = {}) =>
    replica.handleAppend({
      group: 'group',
      to: storage.incarnation,
      term: 1,
      leader: 'b',
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      ...change,
    });
  await callFromLeader();
  return {clock, replica, callFromLeader};
}

// Guards against reads and proposals that are redirected to a lost leader for
// ever: a member without a vote never campaigns, so nothing cleared the name.
test('leader is null once the leader has been silent', async () => {
  const {clock, replica} = await openFollower();
  assert.is(replica.leader, 'b');
  await clock.advance(5_000);
  assert.is(replica.leader, null);
  assert.equal(await replica.propose('x'), {type: 'not-leader', leader: null});
});

test('leader is named again by a call of a leader that was silent', async () => {
  const {clock, replica, callFromLeader} = await openFollower();
  await clock.advance(5_000);
  await callFromLeader();
  assert.is(replica.leader, 'b');
});

test('leader stays named while calls are delayed', async () => {
  const {clock, replica, callFromLeader} = await openFollower();
  for (let call = 0; call < 5; call++) {
    await clock.advance(900);
    assert.is(replica.leader, 'b');
    await callFromLeader();
  }
});

test('isFresh() holds while the leader calls and nothing is missing', async () => {
  const {clock, replica} = await openFollower();
  assert.is(replica.isFresh(), true);
  await clock.advance(1_000);
  assert.is(replica.isFresh(), false);
});

// Guards against gateways that follow a new member while it still receives its
// snapshot: changes would not be in force there in time.
test('isFresh() is false while entries are missing', async () => {
  const {replica, callFromLeader} = await openFollower();
  await callFromLeader({previousIndex: 5, previousTerm: 1, commitIndex: 5});
  assert.is(replica.isFresh(), false);
  const list = (first: number, last: number) =>
    Array.from({length: last - first + 1}, (_, offset) => ({
      index: first + offset,
      term: 1,
      command: 'x',
    }));
  await callFromLeader({entries: list(1, 3), commitIndex: 5});
  assert.is(replica.isFresh(), false);
  await callFromLeader({entries: list(1, 6), commitIndex: 5});
  assert.is(replica.isFresh(), true);
});

// Guards against the same for a new member that has received nothing yet.
test('isFresh() is false before the member belongs to the group', async () => {
  const group = new SimulatedGroup({
    hosts: ['a', 'b', 'c', 'd'],
    voterCount: 3,
    bootstrapHostCount: 3,
    random: () => 0,
  });
  await group.start('d');
  const {replica, incarnation} = group.getHost('d');
  const reply = await replica?.handleAppend({
    group: 'group',
    to: incarnation,
    term: 1,
    leader: 'a',
    previousIndex: 5,
    previousTerm: 1,
    entries: [],
    commitIndex: 5,
  });
  assert.is(reply?.formed, false);
  assert.is(replica?.leader, 'a');
  assert.is(replica?.isFresh(), false);
});

// Guards against gateways that follow a daemon which has just started and never
// had contact with the leader.
test('isFresh() is false before the first contact', async () => {
  const {replica} = await openMember();
  assert.is(replica.isFresh(), false);
});

test.run();
