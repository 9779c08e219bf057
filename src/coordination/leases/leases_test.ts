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
import {describeIsolatedView} from './isolated_view.ts';
import {LeaseRelay} from './lease_relay.ts';
import {createLeaseService} from './lease_service.ts';
import {CONFIGURATION_LEASE_MS, LeaseTable} from './lease_table.ts';

/** A clock that moves when a test says so. */
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

/** A leader, a relay and the means to lag and to lose leadership. */
function createScene() {
  const clock = new ManualClock();
  const scene = {
    clock,
    leads: true,
    leaderSince: 0,
    leaderView: createView(1),
    relayView: createView(1),
    messages: 0,
  };
  const table = new LeaseTable({
    clock,
    getLeaderSince: () => scene.leaderSince,
    regions: ['north', 'south'],
  });
  const grant = createLeaseService({
    isLeader: () => scene.leads,
    getLeader: () => null,
    getRevision: () => scene.leaderView.revision,
    table,
  });
  const relay = new LeaseRelay({
    clock,
    getView: () => scene.relayView,
    getLeader: () => 'leader',
    grant: async (_leader, request) => {
      scene.messages++;
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
  const pump = async () => {
    await relay.passOn();
    relay.answerHeld();
  };
  return {scene, table, relay, createLease, pump};
}

test('one message carries the renewals of many daemons', async () => {
  const {scene, table, createLease, pump} = createScene();
  const leases = ['a', 'b', 'c'].map(name => createLease(name));
  const renewals = leases.map(lease => lease.renewOnce());
  await pump();
  assert.equal(await Promise.all(renewals), [true, true, true]);
  assert.is(scene.messages, 1);
  assert.equal(Object.keys(table.listHosts()), ['a', 'b', 'c']);
  assert.equal(
    leases[0]?.listHosts().map(host => host.name),
    ['a', 'b', 'c'],
  );
});

test('a change reaches a held renewal and is then acknowledged', async () => {
  const {scene, table, createLease, pump} = createScene();
  const lease = createLease('a');
  const first = lease.renewOnce();
  await pump();
  await first;
  const held = lease.renewOnce(800);
  await pump();
  scene.leaderView = scene.relayView = createView(2);
  assert.equal(table.listBehind(2), ['a']);
  await pump();
  assert.is(await held, true);
  assert.is(lease.getView()?.revision, 2);
  assert.equal(table.listBehind(2), ['a']);
  const acknowledgement = lease.renewOnce();
  await pump();
  await acknowledgement;
  assert.equal(table.listBehind(2), []);
});

test('a relay that lags behind the leader grants nothing', async () => {
  const {scene, createLease, pump} = createScene();
  const lease = createLease('a');
  scene.leaderView = createView(7);
  const renewal = lease.renewOnce();
  await pump();
  scene.clock.time += 700;
  await pump();
  assert.is(await renewal, false);
  assert.is(lease.getView(), null);
});

test('a replica without a leader grants nothing', async () => {
  const {scene, createLease, pump} = createScene();
  const lease = createLease('a');
  scene.leads = false;
  const renewal = lease.renewOnce();
  await pump();
  assert.is(await renewal, false);
  assert.is(lease.getView(), null);
});

test('a late answer neither brings an old view back nor extends', async () => {
  const {scene, createLease} = createScene();
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
  scene.clock.time += CONFIGURATION_LEASE_MS - 1;
  assert.is(lease.getView()?.revision, 6);
  waiting[0]?.(grant(5));
  await late;
  assert.is(lease.getView()?.revision, 6);
  scene.clock.time += 1;
  assert.is(lease.getView(), null);
});

test('a process that was frozen finds its lease over', async () => {
  const {scene, createLease, pump} = createScene();
  const lease = createLease('a');
  const renewal = lease.renewOnce();
  // Frozen between the question and the answer.
  scene.clock.time += CONFIGURATION_LEASE_MS;
  await pump();
  assert.is(await renewal, true);
  assert.is(lease.getView(), null);
});

test('a new leader waits until the leases of the old one are over', () => {
  const {scene, table} = createScene();
  scene.leaderSince = scene.clock.time;
  table.renew({name: 'a', incarnation: '1'}, 9, createHost('a'));
  assert.is(table.listBehind(9), null);
  assert.is(table.listHolders(), null);
  scene.clock.time += CONFIGURATION_LEASE_MS - 1;
  assert.is(table.listBehind(9), null);
  scene.clock.time += 1;
  assert.equal(table.listBehind(9), []);
});

test('an earlier process of the same host counts until its end', () => {
  const {scene, table} = createScene();
  table.renew({name: 'a', incarnation: '1'}, 3, createHost('a'));
  scene.clock.time += 500;
  table.renew({name: 'a', incarnation: '2'}, 4, createHost('a'));
  assert.equal(table.listBehind(4), ['a']);
  assert.equal(Object.keys(table.listHosts()), ['a']);
  scene.clock.time += CONFIGURATION_LEASE_MS - 499;
  assert.equal(table.listBehind(4), []);
});

test('a silent host leaves the list, a cut-off region is named', () => {
  const {scene, table} = createScene();
  const lostAt = scene.clock.time;
  table.renew({name: 'n', incarnation: '1'}, 1, createHost('n'));
  table.renew({name: 's', incarnation: '1'}, 1, createHost('s', 'south'));
  assert.equal(table.listUnreachable(), []);
  for (let waited = 0; waited < 5_000; waited += 500) {
    scene.clock.time += 500;
    table.renew({name: 'n', incarnation: '1'}, 1);
  }
  assert.equal(Object.keys(table.listHosts()), ['n']);
  assert.equal(table.listUnreachable(), [
    {region: 'south', hosts: ['s'], sinceMs: lostAt},
  ]);
});

test('without a lease only declared pools go on, outside any plan', () => {
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
  const view = describeIsolatedView({...createView(1), declaration});
  assert.is(view?.isolated, true);
  assert.equal(
    view?.declaration?.versions.map(each => `${each.model}/${each.name}`),
    ['brief/v1'],
  );
  assert.is(describeIsolatedView(createView(1)), null);
});

test.run();
