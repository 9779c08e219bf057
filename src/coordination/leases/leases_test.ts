import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {Clock} from '../../protocol/clock.ts';
import type {
  ControlView,
  Host,
  LeaseReply,
  LeaseRequest,
} from '../../protocol/control.ts';
import {declarationSchema} from '../../protocol/declaration.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {ConfigurationLease} from './configuration_lease.ts';
import {createIsolatedView} from './isolated_view.ts';
import {LeaseRelay} from './lease_relay.ts';
import {createLeaseService} from './lease_service.ts';
import {CONFIGURATION_LEASE_MS, LeaseTable} from './lease_table.ts';

/** A clock that a test advances by hand. */
class ManualClock implements Clock {
  time = 100_000;
  now = () => this.time;
  monotonic = () => this.time;
  sleep = async () => {};
}

function createView(revision: number): ControlView {
  const declaration = declarationSchema.parse({version: Math.max(1, revision)});
  return {
    revision,
    declaration,
    withdrawals: [],
    rollouts: [],
    draining: [],
  };
}

function createHost(name: string, region = 'north'): Host {
  return {
    name,
    region,
    dataCentre: `${region}-a`,
    publicAddress: `${name}:80`,
    peerAddress: `${name}:81`,
    gateway: true,
    leaving: false,
  };
}

/**
 * Creates a leader and a relay. Through `state`, a test can make the relay's
 * view lag and take leadership away.
 */
function createFixture() {
  const clock = new ManualClock();
  const state = {
    clock,
    isLeader: true,
    leaderSince: 0,
    leaderView: createView(1),
    relayView: createView(1),
    messages: 0,
  };
  const table = new LeaseTable({
    clock,
    getLeaderSince: () => state.leaderSince,
    regions: ['north', 'south'],
  });
  const grant = createLeaseService({
    isLeader: () => state.isLeader,
    getLeader: () => null,
    getRevision: () => state.leaderView.revision,
    table,
  });
  const relay = new LeaseRelay({
    clock,
    getView: () => state.relayView,
    getLeader: () => 'leader',
    grant: async (_leader, request) => {
      state.messages++;
      return grant(JSON.parse(JSON.stringify(request)));
    },
  });
  const createLease = (name: string, renew = relay.renew.bind(relay)) =>
    new ConfigurationLease({
      clock,
      logger: silentLogger,
      incarnation: `${name}-1`,
      describeHost: () => createHost(name),
      renew,
    });
  const runRelayOnce = async () => {
    await relay.forwardQueued();
    relay.resolveGranted();
  };
  return {state, table, relay, createLease, runRelayOnce};
}

test('one message carries the renewals of many daemons', async () => {
  const {state, table, createLease, runRelayOnce} = createFixture();
  const leases = ['a', 'b', 'c'].map(name => createLease(name));
  const renewals = leases.map(lease => lease.renewOnce());
  await runRelayOnce();
  assert.equal(await Promise.all(renewals), [true, true, true]);
  assert.is(state.messages, 1);
  assert.equal(Object.keys(table.listHosts()), ['a', 'b', 'c']);
  assert.equal(
    leases[0]?.listHosts().map(host => host.name),
    ['a', 'b', 'c'],
  );
});

test('a change ends a long poll and is then acknowledged', async () => {
  const {state, table, createLease, runRelayOnce} = createFixture();
  const lease = createLease('a');
  const first = lease.renewOnce();
  await runRelayOnce();
  await first;
  const held = lease.renewOnce(800);
  await runRelayOnce();
  state.leaderView = state.relayView = createView(2);
  assert.equal(table.listOutdatedHosts(2), ['a']);
  await runRelayOnce();
  assert.is(await held, true);
  assert.is(lease.getView()?.revision, 2);
  assert.equal(table.listOutdatedHosts(2), ['a']);
  const acknowledgement = lease.renewOnce();
  await runRelayOnce();
  await acknowledgement;
  assert.equal(table.listOutdatedHosts(2), []);
});

test('a relay that lags behind the leader grants nothing', async () => {
  const {state, createLease, runRelayOnce} = createFixture();
  const lease = createLease('a');
  state.leaderView = createView(7);
  const renewal = lease.renewOnce();
  await runRelayOnce();
  state.clock.time += 700;
  await runRelayOnce();
  assert.is(await renewal, false);
  assert.is(lease.getView(), null);
});

test('a replica without a leader grants nothing', async () => {
  const {state, createLease, runRelayOnce} = createFixture();
  const lease = createLease('a');
  state.isLeader = false;
  const renewal = lease.renewOnce();
  await runRelayOnce();
  assert.is(await renewal, false);
  assert.is(lease.getView(), null);
});

test('a late reply neither restores a view nor extends', async () => {
  const {state, createLease} = createFixture();
  const replies: LeaseReply[] = [];
  const waiting: Array<(reply: LeaseReply) => void> = [];
  const lease = createLease('a', (_request: LeaseRequest) => {
    const reply = replies.shift();
    if (reply) return Promise.resolve(reply);
    return new Promise(resolve => waiting.push(resolve));
  });
  const grant = (revision: number): LeaseReply => ({
    type: 'granted',
    leaseMs: CONFIGURATION_LEASE_MS,
    revision,
    view: {type: 'whole', document: createView(revision)},
    hostsRevision: '',
  });
  const late = lease.renewOnce();
  replies.push(grant(6));
  await lease.renewOnce();
  state.clock.time += CONFIGURATION_LEASE_MS - 1;
  assert.is(lease.getView()?.revision, 6);
  waiting[0]?.(grant(5));
  await late;
  assert.is(lease.getView()?.revision, 6);
  state.clock.time += 1;
  assert.is(lease.getView(), null);
});

test('a lease that expires during suspension is not used', async () => {
  const {state, createLease, runRelayOnce} = createFixture();
  const lease = createLease('a');
  const renewal = lease.renewOnce();
  // The process is suspended between the request and the reply.
  state.clock.time += CONFIGURATION_LEASE_MS;
  await runRelayOnce();
  assert.is(await renewal, true);
  assert.is(lease.getView(), null);
});

test('a new leader waits until the leases of the old one have expired', () => {
  const {state, table} = createFixture();
  state.leaderSince = state.clock.time;
  table.renew({name: 'a', incarnation: '1'}, 9, createHost('a'));
  assert.is(table.listOutdatedHosts(9), null);
  assert.is(table.listHolders(), null);
  state.clock.time += CONFIGURATION_LEASE_MS - 1;
  assert.is(table.listOutdatedHosts(9), null);
  state.clock.time += 1;
  assert.equal(table.listOutdatedHosts(9), []);
});

test('an earlier process of a host counts until its lease expires', () => {
  const {state, table} = createFixture();
  table.renew({name: 'a', incarnation: '1'}, 3, createHost('a'));
  state.clock.time += 500;
  table.renew({name: 'a', incarnation: '2'}, 4, createHost('a'));
  assert.equal(table.listOutdatedHosts(4), ['a']);
  assert.equal(Object.keys(table.listHosts()), ['a']);
  state.clock.time += CONFIGURATION_LEASE_MS - 499;
  assert.equal(table.listOutdatedHosts(4), []);
});

test('an expired host is delisted and its region reported unreachable', () => {
  const {state, table} = createFixture();
  const lostAt = state.clock.time;
  table.renew({name: 'n', incarnation: '1'}, 1, createHost('n'));
  table.renew({name: 's', incarnation: '1'}, 1, createHost('s', 'south'));
  assert.equal(table.listUnreachable(), []);
  for (let waited = 0; waited < 5_000; waited += 500) {
    state.clock.time += 500;
    table.renew({name: 'n', incarnation: '1'}, 1);
  }
  assert.equal(Object.keys(table.listHosts()), ['n']);
  assert.equal(table.listUnreachable(), [
    {region: 'south', hosts: ['s'], sinceMs: lostAt},
  ]);
});

test('an isolated view keeps declared pools and unplanned versions', () => {
  const price = {prompt_price: 1, completion_price: 1, expected_quality: 1};
  const declaration = declarationSchema.parse({
    version: 1,
    pools: [{name: 'desk', when_isolated: 'serve_stable'}, {name: 'filing'}],
    versions: [
      {model: 'draft', name: 'v1', pool: 'desk', ...price},
      {model: 'draft', name: 'v2', pool: 'desk', ...price},
      {model: 'brief', name: 'v1', pool: 'desk', ...price},
      {model: 'brief', name: 'v9', pool: 'filing', ...price},
    ],
    rollouts: [{model: 'draft', version: 'v2', stable: 'v1', stages: [1]}],
  });
  const view = createIsolatedView({...createView(1), declaration});
  assert.is(view?.isolated, true);
  assert.equal(
    view?.declaration?.versions.map(each => `${each.model}/${each.name}`),
    ['brief/v1'],
  );
  assert.is(createIsolatedView(createView(1)), null);
});

test.run();
