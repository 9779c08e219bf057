/** Tests the votes of a founder, each by a case that it prevents. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {FoundingRequest} from '../../protocol/founding.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {MemoryFileSystem} from '../../state/files/memory_file_system.ts';
import {
  compareBallots,
  findLatestVote,
  Founder,
  type OpenFounderOptions,
} from './founder.ts';

const FOUNDERS = ['a', 'b', 'c'];
const PATH = '/data/founder';

const VOTERS = FOUNDERS.map(name => ({name, incarnation: `disk_${name}`}));
const MEMBERSHIP = {voters: VOTERS};

function openFounder(
  files: MemoryFileSystem,
  options: Partial<OpenFounderOptions> = {},
): Promise<Founder | null> {
  return Founder.open({
    group: 'group',
    name: 'a',
    founders: FOUNDERS,
    storage: {incarnation: 'disk_a', snapshot: null, lastIndex: 0},
    files: files.connect(),
    path: PATH,
    ask: () => Promise.reject(new Error('silent')),
    logger: silentLogger,
    ...options,
  });
}

async function openFirst(files: MemoryFileSystem): Promise<Founder> {
  const founder = await openFounder(files);
  if (!founder) throw new Error('Could not open a founder');
  return founder;
}

function createRequest(
  round: number,
  options: Partial<FoundingRequest> = {},
): FoundingRequest {
  const ballot = {round, proposer: 'b'};
  return {group: 'group', founders: FOUNDERS, ballot, ...options};
}

// Guards against two lists of first voters that are both chosen.
test('a founder grants no ballot that is earlier than one it granted', async () => {
  const founder = await openFirst(new MemoryFileSystem());
  assert.equal((await founder.handle(createRequest(2))).granted, true);
  const membership = MEMBERSHIP;
  const early = await founder.handle(createRequest(1, {membership}));
  assert.equal(early.granted, false);
  assert.equal(early.vote, null);
  const ballot = {round: 2, proposer: 'a'};
  const lower = await founder.handle(createRequest(2, {ballot, membership}));
  assert.equal(lower.granted, false);
  const due = await founder.handle(createRequest(2, {membership}));
  assert.equal(due.granted, true);
});

test('ballots of one round are ordered by their proposers', () => {
  const order = (a: string, b: string) =>
    compareBallots({round: 1, proposer: a}, {round: 1, proposer: b});
  assert.ok(order('a', 'b') < 0);
  assert.ok(order('b', 'a') > 0);
  assert.equal(order('a', 'a'), 0);
});

// Guards against a proposal of an earlier ballot that replaces the chosen one.
test('a proposer takes over the vote of the latest ballot', () => {
  const reply = (round: number) => ({
    granted: true,
    promised: null,
    vote: {ballot: {round, proposer: 'a'}, membership: MEMBERSHIP},
  });
  const none = {granted: true, promised: null, vote: null};
  const latest = findLatestVote([reply(1), none, reply(10), reply(2)]);
  assert.equal(latest?.ballot.round, 10);
  assert.equal(findLatestVote([none, none]), null);
});

// Guards against a vote that a loss of power takes back.
test('a founder keeps its votes when it loses power', async () => {
  const files = new MemoryFileSystem();
  const founder = await openFirst(files);
  const request = createRequest(3, {membership: MEMBERSHIP});
  const reply = await founder.handle(request);
  files.crash(() => 0.9);
  const restarted = await openFounder(files, {founders: []});
  assert.ok(restarted);
  assert.deepEqual(restarted.founders, FOUNDERS);
  const later = await restarted.handle(createRequest(4));
  assert.deepEqual(later.vote, reply.vote);
  const early = await restarted.handle(createRequest(2));
  assert.equal(early.granted, false);
});

// Guards against a second group of a host that has forgotten its vote.
test('a host that lost its disk is no founder any more', async () => {
  const files = new MemoryFileSystem();
  const founder = await openFirst(files);
  await founder.handle(createRequest(1, {membership: MEMBERSHIP}));
  files.erase();
  const storage = {incarnation: 'disk_new', snapshot: null, lastIndex: 0};
  assert.equal(await openFounder(files, {founders: [], storage}), null);
});

// Guards against the same where a damaged log is put aside during a first start.
test('a host whose log was replaced is no founder any more', async () => {
  const files = new MemoryFileSystem();
  await openFirst(files);
  const storage = {incarnation: 'disk_new', snapshot: null, lastIndex: 0};
  assert.equal(await openFounder(files, {storage}), null);
});

test('a host whose votes are damaged is no founder any more', async () => {
  const files = new MemoryFileSystem();
  await openFirst(files);
  const file = await files.open(PATH);
  await file.append(Buffer.from('x'));
  await file.close();
  assert.equal(await openFounder(files), null);
});

// Guards against a ballot about a group that an earlier build has formed.
test('a host with a log of an earlier build is no founder', async () => {
  const files = new MemoryFileSystem();
  const snapshot = {index: 0, term: 0, membership: MEMBERSHIP};
  const storage = {incarnation: 'disk_a', snapshot, lastIndex: 0};
  assert.equal(await openFounder(files, {storage}), null);
});

test('a host that the settings do not name is no founder', async () => {
  const files = new MemoryFileSystem();
  assert.equal(await openFounder(files, {founders: ['b', 'c', 'd']}), null);
});

// Guards against majorities of two lists of founders that share no founder.
test('a founder grants no ballot of other founders', async () => {
  const founder = await openFirst(new MemoryFileSystem());
  const founders = ['a', 'b', 'd'];
  const reply = await founder.handle(createRequest(1, {founders}));
  assert.equal(reply.granted, false);
});

test.run();
