/** The list of hosts that daemons hold while the leader changes. */
import {test} from 'uvu';
import * as assert from 'uvu/assert';
import type {Clock} from '../../protocol/clock.ts';
import type {
  ControlView,
  GrantReply,
  GrantRequest,
} from '../../protocol/control.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {ConfigurationLease} from './configuration_lease.ts';
import {LeaseRelay} from './lease_relay.ts';
import {createLeaseService} from './lease_service.ts';
import {HOST_TIMEOUT_MS, LeaseTable} from './lease_table.ts';

/** A clock that a test advances by hand. */
class ManualClock implements Clock {
  time = 100_000;
  now = () => this.time;
  monotonic = () => this.time;
  sleep = async () => {};
}

const view: ControlView = {
  revision: 1,
  declaration: null,
  withdrawals: [],
  rollouts: [],
  draining: [],
};

interface Leader {
  since: number;
  readonly grant: (request: GrantRequest) => GrantReply;
}

/** Daemons that renew through one relay, and a leader that changes. */
class Setting {
  readonly clock = new ManualClock();
  private readonly leaders = [this.createLeader(), this.createLeader()];
  private term = 0;
  private relay = this.openRelay();
  private readonly leases = new Map<string, ConfigurationLease>();

  /** Makes the other daemon the leader. */
  changeLeader(): void {
    this.term++;
    this.leader.since = this.clock.time;
  }

  /** A relay that has started anew, and knows no list. */
  restartRelay(): void {
    this.relay = this.openRelay();
  }

  async renew(...names: string[]): Promise<void> {
    const renewals = names.map(name => this.getLease(name).renewOnce());
    await this.relay.forwardQueued();
    this.relay.resolveGranted();
    const granted = await Promise.all(renewals);
    assert.ok(granted.every(Boolean));
  }

  listHosts(name: string): string[] {
    const hosts = this.getLease(name).listHosts();
    return hosts.map(host => host.name).sort();
  }

  private getLease(name: string): ConfigurationLease {
    const known = this.leases.get(name);
    if (known) return known;
    const lease = new ConfigurationLease({
      clock: this.clock,
      logger: silentLogger,
      incarnation: `${name}-1`,
      describeHost: () => ({
        name,
        region: 'north',
        dataCentre: 'north-a',
        publicAddress: `${name}:80`,
        peerAddress: `${name}:81`,
        gateway: true,
        leaving: false,
      }),
      renew: request => this.relay.renew(request),
    });
    this.leases.set(name, lease);
    return lease;
  }

  private get leader(): Leader {
    const leader = this.leaders[this.term % this.leaders.length];
    if (!leader) throw new Error('Could not find the leader');
    return leader;
  }

  private createLeader(): Leader {
    const leader = {since: -Infinity};
    const table = new LeaseTable({
      clock: this.clock,
      getLeaderSince: () => leader.since,
    });
    const grant = createLeaseService({
      isLeader: () => true,
      getLeader: () => null,
      getRevision: () => view.revision,
      table,
    });
    return Object.assign(leader, {grant});
  }

  private openRelay(): LeaseRelay {
    return new LeaseRelay({
      clock: this.clock,
      getView: () => view,
      getLeader: () => `leader-${this.term}`,
      grant: async (_leader, request: GrantRequest) =>
        this.leader.grant(request),
    });
  }
}

// Guards against gateways that drop the others, and take over their share of
// each pool, because a new leader has not heard of them yet.
test('daemons keep their hosts until a new leader has heard of them', async () => {
  const setting = new Setting();
  await setting.renew('a', 'b', 'c');
  assert.equal(setting.listHosts('a'), ['a', 'b', 'c']);
  setting.changeLeader();
  setting.clock.time += 100;
  await setting.renew('a');
  assert.equal(setting.listHosts('a'), ['a', 'b', 'c']);
  setting.clock.time += 500;
  await setting.renew('b', 'c');
  assert.equal(setting.listHosts('b'), ['a', 'b', 'c']);
});

// Guards against the same at a leader that led before, and has an old table.
test('daemons keep their hosts at a leader that leads again', async () => {
  const setting = new Setting();
  await setting.renew('a', 'b', 'c');
  setting.changeLeader();
  for (let waitedMs = 0; waitedMs <= HOST_TIMEOUT_MS; waitedMs += 500) {
    await setting.renew('a', 'b', 'c');
    setting.clock.time += 500;
  }
  setting.changeLeader();
  await setting.renew('a');
  assert.equal(setting.listHosts('a'), ['a', 'b', 'c']);
});

// Guards against hosts that are lost with the old leader and never delisted.
test('daemons that a new leader does not hear of are delisted in time', async () => {
  const setting = new Setting();
  await setting.renew('a', 'b', 'c');
  setting.changeLeader();
  for (let waitedMs = 0; waitedMs <= HOST_TIMEOUT_MS; waitedMs += 500) {
    await setting.renew('a', 'b');
    setting.clock.time += 500;
  }
  await setting.renew('a', 'b');
  assert.equal(setting.listHosts('a'), ['a', 'b']);
});

// Guards against relays without any list while the leader is new.
test('a relay without a list gets what a new leader knows', async () => {
  const setting = new Setting();
  await setting.renew('a', 'b');
  setting.changeLeader();
  setting.restartRelay();
  await setting.renew('a');
  assert.equal(setting.listHosts('a'), ['a']);
  await setting.renew('a', 'b');
  assert.equal(setting.listHosts('b'), ['a', 'b']);
});

test.run();
