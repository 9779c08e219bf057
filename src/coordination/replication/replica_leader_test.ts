import {test} from 'uvu';
import * as assert from 'uvu/assert';
import {openMember} from './member_fake.ts';

/** Opens a member that `b` leads, as a learner: it never campaigns. */
async function openFollower() {
  const {clock, replica, storage} = await openMember();
  const callFromLeader = () =>
    replica.handleAppend({
      group: 'group',
      to: storage.incarnation,
      term: 1,
      leader: 'b',
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
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

test.run();
