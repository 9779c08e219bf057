import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {Logger} from '../../protocol/logger.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import type {Member} from '../../protocol/replication.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {GroupStatus, MemberStatus} from './group_status.ts';
import {startGroupWatch} from './group_watch.ts';

const [A, B, C] = ['a', 'b', 'c'].map(name => ({
  name,
  incarnation: `disk_${name}`,
})) as [Member, Member, Member];

const FOLLOWING: GroupStatus = {
  group: 'g',
  self: A,
  leader: 'b',
  voters: [A, B, C],
  appliedIndex: 7,
  lastIndex: 8,
  leading: null,
};

function createMemberStatus(
  member: Member,
  status: Partial<MemberStatus> = {},
): MemberStatus {
  return {member, contactAgeMs: 0, lagEntries: 0, ...status};
}

/** Watches a group whose status and answers the test sets. */
function startWatch() {
  const clock = new SimulatedClock();
  const lines: string[] = [];
  const gauges = new Map<string, number>();
  /** The incarnations that run, by host. */
  const running = new Map([A, B, C].map(each => [each.name, each.incarnation]));
  const record =
    (level: string): Logger['info'] =>
    (message, fields) =>
      lines.push(`${level} ${message} ${JSON.stringify(fields)}`);
  const state = {status: FOLLOWING};
  startGroupWatch({
    getStatus: () => state.status,
    getPeer: name => ({
      describeReplica: async (_request, timeoutMs) => {
        const incarnation = running.get(name);
        if (incarnation !== undefined) return {incarnation, formed: true};
        await clock.sleep(timeoutMs);
        throw new Error('Timed out');
      },
    }),
    clock,
    logger: {
      ...silentLogger,
      error: record('error'),
      warn: record('warn'),
      info: record('info'),
    },
    metrics: {
      ...silentMetrics,
      gauge: (name, value, {spare} = {}) => {
        const key = spare === undefined ? name : `${name}/${spare}`;
        if (Number.isNaN(value)) gauges.delete(key);
        else gauges.set(key, value);
      },
    },
  });
  return {clock, lines, gauges, running, state};
}

// Guards against a core that has lost its majority without a word: reads and
// changes are refused, and no line or metric says why.
test('a lost majority is logged once a minute and set as a metric', async () => {
  const {clock, lines, gauges, running, state} = startWatch();
  await clock.advance(10_000);
  assert.deepEqual(lines, []);
  state.status = {...FOLLOWING, leader: null};
  running.delete('b');
  running.delete('c');
  await clock.advance(12_000);
  assert.equal(lines.length, 1, lines.join('\n'));
  assert.match(lines[0] ?? '', /^error Cannot commit or confirm reads: no maj/);
  assert.match(lines[0] ?? '', /"voters":\["a\/disk_a","b\/.*"answering":\["a/);
  assert.equal(gauges.get('group_majority_lost'), 1);
  assert.equal(gauges.get('group_leader_known'), 0);
  assert.ok((gauges.get('group_without_leader_seconds') ?? 0) >= 10);
  await clock.advance(120_000);
  assert.equal(lines.length, 3, lines.join('\n'));

  state.status = FOLLOWING;
  await clock.advance(2_000);
  assert.match(lines[3] ?? '', /^info Knows a leader again\. .*"leader":"b"/);
  assert.equal(gauges.get('group_majority_lost'), 0);
  assert.equal(gauges.get('group_without_leader_seconds'), 0);
});

test('a voter that lost its disk does not answer as a voter', async () => {
  const {clock, lines, gauges, running, state} = startWatch();
  state.status = {...FOLLOWING, leader: null};
  running.set('b', 'disk_new');
  running.delete('c');
  await clock.advance(12_000);
  assert.equal(gauges.get('group_majority_lost'), 1);
  assert.match(lines[0] ?? '', /"answering":\["a\/disk_a"\]/);
});

test('a group without a leader but with a majority is not lost', async () => {
  const {clock, lines, gauges, running, state} = startWatch();
  state.status = {...FOLLOWING, leader: null};
  running.delete('c');
  await clock.advance(12_000);
  assert.equal(gauges.get('group_majority_lost'), 0);
  assert.equal(lines.length, 1, lines.join('\n'));
  assert.match(lines[0] ?? '', /^warn Knows no leader although a majority/);
});

test('an election is not logged', async () => {
  const {clock, lines, state} = startWatch();
  state.status = {...FOLLOWING, leader: null};
  await clock.advance(3_000);
  state.status = FOLLOWING;
  await clock.advance(10_000);
  assert.deepEqual(lines, []);
});

test('a daemon that belongs to no group is silent', async () => {
  const {clock, lines, state} = startWatch();
  state.status = {...FOLLOWING, leader: null, voters: []};
  await clock.advance(60_000);
  assert.deepEqual(lines, []);
});

test('the leader reports losses that are borne and the lag of spares', async () => {
  const {clock, gauges, state} = startWatch();
  const spare = {name: 'd', incarnation: 'disk_d'};
  state.status = {
    ...FOLLOWING,
    leader: 'a',
    leading: {
      voters: [A, B, C].map(member => createMemberStatus(member)),
      spares: [createMemberStatus(spare, {lagEntries: 5})],
    },
  };
  await clock.advance(1_000);
  assert.equal(gauges.get('group_voters'), 3);
  assert.equal(gauges.get('group_voters_in_contact'), 3);
  assert.equal(gauges.get('group_tolerated_losses'), 1);
  assert.equal(gauges.get('group_spares'), 1);
  assert.equal(gauges.get('group_spare_lag_entries/d'), 5);
  assert.equal(gauges.get('group_applied_index'), 7);
  state.status = {
    ...state.status,
    leading: {
      voters: [
        createMemberStatus(A),
        createMemberStatus(B),
        createMemberStatus(C, {contactAgeMs: 1_500}),
      ],
      spares: [],
    },
  };
  await clock.advance(1_000);
  assert.equal(gauges.get('group_voters_in_contact'), 2);
  assert.equal(gauges.get('group_tolerated_losses'), 0);
  assert.ok(!gauges.has('group_spare_lag_entries/d'));
  state.status = FOLLOWING;
  await clock.advance(1_000);
  assert.ok(!gauges.has('group_voters_in_contact'));
  assert.ok(!gauges.has('group_tolerated_losses'));
});

test.run();
