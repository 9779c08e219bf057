/** Tests the safety rules of the log, each by a case that it prevents. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import type {Membership} from '../../protocol/replication.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {formGroup, type FormationOptions} from './formation.ts';
import type {ReplicaPeer} from './peer_replicator.ts';
import {
  createUnresponsivePeer,
  MEMBER_HOSTS,
  openMember,
  type OpenMemberOptions,
} from './member_fake.ts';

/** Longer than a member assumes a leader to be alive without contact. */
const LEADER_EXPIRY_MS = 3_000;

/** Opens the first member of a group of three; a fourth host is a spare. */
async function openVoter(options: OpenMemberOptions = {}) {
  const hosts = [...MEMBER_HOSTS, {name: 'd', region: 'r', dataCentre: 'd'}];
  const member = await openMember({...options, hosts, replaceAfterMs: 2_000});
  const {replica, storage} = member;
  const askForVote = (request: {
    term: number;
    lastIndex: number;
    lastTerm: number;
  }) =>
    replica.handleVote({
      group: 'group',
      to: storage.incarnation,
      candidate: 'b',
      preVote: false,
      transfer: false,
      ...request,
    });
  return {...member, askForVote};
}

/** Starts the formation on the first host of a group of three. */
function startFormation(options: Partial<FormationOptions>) {
  const clock = new SimulatedClock();
  const stopped = new AbortController();
  const task = formGroup({
    group: 'group',
    self: {name: 'a', incarnation: 'disk_a'},
    bootstrapHosts: MEMBER_HOSTS,
    listHosts: () => MEMBER_HOSTS,
    voterCount: 3,
    clock,
    random: () => 0,
    logger: silentLogger,
    signal: stopped.signal,
    getPeer: createUnresponsivePeer,
    getMembership: () => null,
    getFormation: () => null,
    form: async () => {},
    ...options,
  });
  return {clock, stopped, task};
}

test('no group is formed if one of its hosts belongs to a group', async () => {
  const formed: Membership[] = [];
  const {clock, stopped, task} = startFormation({
    getPeer: name => ({
      ...createUnresponsivePeer(),
      describeReplica: async () => ({
        incarnation: `disk_${name}`,
        formed: name === 'c',
      }),
    }),
    getMembership: () => formed[0] ?? null,
    form: async membership => void formed.push(membership),
  });
  await clock.advance(5_000);
  stopped.abort();
  await task;
  assert.deepEqual(formed, []);
});

const FIRST_VOTERS = MEMBER_HOSTS.map(({name}) => ({
  name,
  incarnation: `disk_${name}`,
}));

// Guards against voters that nobody tells of their group, since the first host has
// restarted meanwhile, with settings that name no first start or with a new build.
test('a voter tells the others of a new group after a restart', async () => {
  const membership = {voters: FIRST_VOTERS};
  const told: string[] = [];
  const {task} = startFormation({
    bootstrapHosts: [],
    getMembership: () => membership,
    getFormation: () => membership,
    getPeer: name => ({
      ...createUnresponsivePeer(),
      formGroup: async ({to}) => {
        told.push(to);
        return {incarnation: `disk_${name}`, formed: true};
      },
    }),
  });
  await task;
  assert.deepEqual(told, ['disk_b', 'disk_c']);
});

// Guards against calls without end to a voter that is gone.
test('a voter tells the others only while they are voters', async () => {
  let voters = FIRST_VOTERS;
  const told: string[] = [];
  const {clock, task} = startFormation({
    getMembership: () => ({voters}),
    getFormation: () => ({voters: FIRST_VOTERS}),
    getPeer: name => ({
      ...createUnresponsivePeer(),
      formGroup: async () => {
        told.push(name);
        throw new Error('silent');
      },
    }),
  });
  await clock.advance(3_000);
  assert.ok(told.length > 10, `${told.length} calls`);
  voters = voters.filter(({name}) => name !== 'c');
  await clock.advance(300);
  told.length = 0;
  await clock.advance(3_000);
  assert.deepEqual([...new Set(told)], ['b']);
  voters = voters.filter(({name}) => name !== 'b');
  await clock.advance(300);
  await task;
});

test('a longer log of an earlier term is refused a vote', async () => {
  const entries = [{index: 1, term: 2, command: 'new'}];
  const {clock, askForVote} = await openVoter({entries, term: 2});
  await clock.advance(LEADER_EXPIRY_MS);
  const stale = await askForVote({term: 3, lastIndex: 9, lastTerm: 1});
  assert.equal(stale.granted, false);
  const later = await askForVote({term: 4, lastIndex: 1, lastTerm: 3});
  assert.equal(later.granted, true);
});

test('no vote is granted while a leader is in contact', async () => {
  const {clock, replica, storage, askForVote} = await openVoter();
  await clock.advance(LEADER_EXPIRY_MS);
  await replica.handleAppend({
    group: 'group',
    to: storage.incarnation,
    term: 1,
    leader: 'c',
    previousIndex: 0,
    previousTerm: 0,
    entries: [],
    commitIndex: 0,
  });
  await clock.advance(500);
  const early = await askForVote({term: 2, lastIndex: 5, lastTerm: 1});
  assert.equal(early.granted, false);
  assert.equal(replica.term, 1);
  await clock.advance(LEADER_EXPIRY_MS);
  const late = await askForVote({term: 2, lastIndex: 5, lastTerm: 1});
  assert.equal(late.granted, true);
});

test('only one vote is granted per term', async () => {
  const {clock, replica, storage, askForVote} = await openVoter();
  await clock.advance(LEADER_EXPIRY_MS);
  const first = await askForVote({term: 2, lastIndex: 0, lastTerm: 0});
  assert.equal(first.granted, true);
  await clock.advance(LEADER_EXPIRY_MS);
  const second = await replica.handleVote({
    group: 'group',
    to: storage.incarnation,
    candidate: 'c',
    preVote: false,
    transfer: false,
    term: 2,
    lastIndex: 0,
    lastTerm: 0,
  });
  assert.equal(second.granted, false);
});

test('a call addressed to an earlier disk is refused', async () => {
  const {replica} = await openVoter();
  await assert.rejects(
    replica.handleAppend({
      group: 'group',
      to: 'disk_before',
      term: 9,
      leader: 'c',
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
    }),
  );
  assert.equal(replica.term, 1);
});

test('no membership change starts before the last is committed', async () => {
  // b replies but acknowledges nothing after the leader's first entry, and c
  // is lost.
  const getPeer = (name: string): ReplicaPeer => ({
    ...createUnresponsivePeer(),
    vote: async ({term}) => ({term: term - 1, granted: name === 'b'}),
    describeReplica: async () => {
      if (name === 'c') throw new Error('silent');
      return {incarnation: `disk_${name}`, formed: name === 'b'};
    },
    append: async ({term, previousIndex, entries}) => {
      if (name === 'c') throw new Error('silent');
      await clock.sleep(5);
      const matchIndex = name === 'b' ? 1 : previousIndex + entries.length;
      return {term, accepted: true, matchIndex, formed: true};
    },
    installSnapshot: async ({term, totalBytes}) => ({
      term,
      received: totalBytes,
      installed: true,
    }),
  });
  const {clock, replica, storage} = await openVoter({getPeer});
  replica.start();
  await clock.advance(15_000);
  const changes = storage
    .read(1, storage.lastIndex)
    .filter(entry => entry.membership);
  assert.deepEqual(
    changes.map(entry => entry.membership?.voters.map(({name}) => name)),
    [['a', 'b', 'c', 'd']],
  );
});

test.run();
