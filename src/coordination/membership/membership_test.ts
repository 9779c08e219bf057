import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {Host} from '../../protocol/control.ts';
import {
  announcementSchema,
  ENDPOINT_LEASE_MS,
  type Announcement,
} from '../../protocol/endpoint.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {ExchangeRequest} from '../../protocol/peer_service.ts';
import {EndpointTable} from './endpoint_table.ts';
import {RecordExchange} from './record_exchange.ts';
import {rebuildEndpointTable} from './rebuild_endpoint_table.ts';
import {REMOTE_RECEIVERS, selectReceivers} from './select_receivers.ts';

function createAnnouncement(
  name: string,
  more: Partial<Announcement> = {},
): Announcement {
  return announcementSchema.parse({
    name,
    incarnation: '1',
    address: '10.0.0.1:1',
    region: 'north',
    dataCentre: 'a',
    pool: 'desk',
    ...more,
  });
}

function createHost(name: string, dataCentre = 'a'): Host {
  return {
    name,
    region: 'north',
    dataCentre,
    publicAddress: `${name}:80`,
    peerAddress: `${name}:81`,
    gateway: true,
    leaving: false,
  };
}

/** Daemons that exchange records in memory, on one clock. */
function createNetwork(hosts: readonly Host[]) {
  const network = {
    time: 10_000,
    unreachable: new Set<string>(),
    sent: [] as ExchangeRequest[],
  };
  const clock = {
    now: () => network.time,
    monotonic: () => network.time,
    // Yields to the other tasks.
    sleep: () => new Promise<void>(resolve => setImmediate(resolve)),
  };
  interface Daemon {
    table: EndpointTable;
    exchange: RecordExchange;
  }
  const daemons: Map<string, Daemon> = new Map(
    hosts.map(own => {
      const table = new EndpointTable(clock);
      const exchange = new RecordExchange({
        clock,
        own,
        table,
        listHosts: () => hosts,
        send: async (host, request) => {
          if (network.unreachable.has(host.name)) throw new Error('no answer');
          const copy = JSON.parse(JSON.stringify(request)) as ExchangeRequest;
          network.sent.push(copy);
          const peer = daemons.get(host.name);
          if (!peer) throw new Error('no such daemon');
          return peer.exchange.receive(copy);
        },
      });
      return [own.name, {table, exchange}] as const;
    }),
  );
  const get = (name: string) => {
    const daemon = daemons.get(name);
    if (!daemon) throw new Error(`Could not find "${name}"`);
    return daemon;
  };
  return {network, clock, get};
}

/** Lets the tasks of all daemons run until nothing is left to do. */
async function settleTasks(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) {
    await new Promise<void>(resolve => setImmediate(resolve));
  }
}

const listNames = (table: EndpointTable) =>
  table.list().map(endpoint => endpoint.name);

test('changes reach every daemon at once, renewals as short entries', async () => {
  const {network, get} = createNetwork(['x', 'y', 'z'].map(n => createHost(n)));
  assert.ok(get('x').exchange.announce(createAnnouncement('e1')).ok);
  await settleTasks();
  assert.equal(listNames(get('y').table), ['e1']);
  assert.equal(listNames(get('z').table), ['e1']);
  network.sent.length = 0;
  for (let second = 0; second < 10; second++) {
    network.time += 1_000;
    const load = {running: second, waiting: 0, ageMs: 0};
    get('x').exchange.announce(createAnnouncement('e1', {load}));
    get('x').exchange.enqueueRenewals();
    await settleTasks();
  }
  assert.is(get('z').table.list()[0]?.load?.running, 9);
  assert.is(network.sent.length, 20);
  assert.ok(network.sent.every(request => request.records.length === 0));
  network.time += ENDPOINT_LEASE_MS;
  assert.equal(listNames(get('z').table), []);
});

test('of two daemons with an announcement, one sends the renewal', async () => {
  const {network, get} = createNetwork(['x', 'y', 'z'].map(n => createHost(n)));
  get('x').exchange.announce(createAnnouncement('e1'));
  await settleTasks();
  get('y').exchange.announce(createAnnouncement('e1'));
  await settleTasks();
  network.time += 1_000;
  network.sent.length = 0;
  get('x').exchange.announce(createAnnouncement('e1'));
  get('y').exchange.announce(createAnnouncement('e1'));
  get('x').exchange.enqueueRenewals();
  await settleTasks();
  get('y').exchange.enqueueRenewals();
  await settleTasks();
  assert.is(network.sent.length, 2);
});

test('a change to leaving is retried after a lost message', async () => {
  const {network, get} = createNetwork(['x', 'y'].map(n => createHost(n)));
  get('x').exchange.announce(createAnnouncement('e1'));
  await settleTasks();
  network.unreachable.add('y');
  get('x').exchange.announce(createAnnouncement('e1', {leaving: true}));
  await settleTasks();
  assert.is(get('y').table.list()[0]?.leaving, false);
  network.unreachable.clear();
  await settleTasks();
  assert.is(get('y').table.list()[0]?.leaving, true);
});

test('a late record does not reset a leaving endpoint', () => {
  const {get} = createNetwork([createHost('x')]);
  const {table} = get('x');
  const first = table.announce(createAnnouncement('e1'));
  table.announce(createAnnouncement('e1', {leaving: true}));
  assert.ok(first.ok);
  table.merge({...first.value.record, sequence: 99});
  assert.is(table.list()[0]?.leaving, true);
});

test('a name is bound to its process while that is live', () => {
  const {network, get} = createNetwork([createHost('x')]);
  const {table} = get('x');
  const first = table.announce(createAnnouncement('e1'));
  assert.ok(first.ok);
  const conflicting = createAnnouncement('e1', {
    incarnation: '2',
    address: '10.0.0.2:1',
  });
  assert.equal(table.announce(conflicting), {
    ok: false,
    error: 'the name "e1" is in use at another address',
  });
  // The same address implies that the first process has ended.
  network.time += 100;
  const restarted = createAnnouncement('e1', {incarnation: '2'});
  assert.ok(table.announce(restarted).ok);
  const late = {...first.value.record, leaseMs: ENDPOINT_LEASE_MS - 100};
  assert.is(table.merge(late), false);
  assert.is(table.list()[0]?.incarnation, '2');
  network.time += ENDPOINT_LEASE_MS;
  assert.ok(table.announce({...conflicting, incarnation: '3'}).ok);
});

test('a daemon that missed a change requests it at the next renewal', async () => {
  const {network, get} = createNetwork(['x', 'y'].map(n => createHost(n)));
  get('x').table.announce(createAnnouncement('e1'));
  network.time += 1_000;
  get('x').exchange.announce(createAnnouncement('e1'));
  get('x').exchange.enqueueRenewals();
  await settleTasks();
  assert.equal(listNames(get('y').table), ['e1']);
});

test('in a large system few remote daemons get a record and forward it', async () => {
  const hosts = Array.from({length: 24}, (_none, index) =>
    createHost(`h${index}`, index < 12 ? 'a' : 'b'),
  );
  const {network, get} = createNetwork(hosts);
  const own = {name: 'h0', dataCentre: 'a'};
  const far = selectReceivers(own, hosts, 'e1').filter(
    host => host.dataCentre === 'b',
  );
  assert.is(far.length, REMOTE_RECEIVERS);
  get('h0').exchange.announce(createAnnouncement('e1'));
  await settleTasks();
  for (const host of hosts) {
    assert.equal(listNames(get(host.name).table), ['e1'], host.name);
  }
  const crossing = network.sent.filter(request => request.dataCentre === 'a');
  assert.is(crossing.length, 11 + REMOTE_RECEIVERS);
});

test('a daemon that starts reads the endpoints of near daemons', async () => {
  const hosts = ['x', 'y', 'z'].map(name => createHost(name));
  const {clock, get} = createNetwork(hosts);
  get('y').table.announce(createAnnouncement('e1'));
  const readHosts: string[] = [];
  const mergedCount = await rebuildEndpointTable({
    clock,
    own: createHost('x'),
    table: get('x').table,
    random: () => 0.5,
    listHosts: () => hosts,
    read: async host => {
      readHosts.push(host.name);
      return get(host.name).table.listRecords();
    },
    signal: new AbortController().signal,
  });
  assert.is(mergedCount, 1);
  assert.equal(readHosts, ['y', 'z']);
  assert.equal(listNames(get('x').table), ['e1']);
});

test('merge() marks an endpoint leaving by an older record and keeps it so', () => {
  const clock = new SimulatedClock();
  const table = new EndpointTable(clock);
  const announced = table.announce(createAnnouncement('e'));
  assert.ok(announced.ok);
  const {record} = announced.value;
  const isChange = table.merge({
    ...record,
    sequence: record.sequence - 2,
    leaving: true,
  });
  assert.is(isChange, true);
  assert.is(table.list()[0]?.leaving, true);
  table.merge({...record, sequence: record.sequence - 1, leaving: false});
  assert.is(table.list()[0]?.leaving, true);
});

test.run();
