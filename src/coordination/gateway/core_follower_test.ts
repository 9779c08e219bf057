/**
 * Guards against a gateway that serves nothing after a power failure of all
 * hosts, while the core daemons restart one after the other.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {
  Configuration,
  CoreDaemon,
  FollowReply,
} from '../../protocol/core_service.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {succeed} from '../../protocol/outcome.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {
  createEndpoint,
  createFollowReply,
  createRoute,
  createTable,
} from '../forwarding/forwarding_fakes.ts';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {CoreFollower} from './core_follower.ts';
import {GatewayView} from './gateway_view.ts';

const EMPTY: Configuration = {
  revision: 0,
  version: null,
  document: null,
  rollouts: [],
};

const IN_FORCE: Configuration = {
  ...EMPTY,
  revision: 7,
  version: 3,
  document: '',
};

/** How a core daemon answers; `null` while its host is down. */
type Daemon = (nowMs: number) => Configuration | null;

class FakeCore implements Disposable {
  readonly clock = new SimulatedClock();
  readonly calls: string[] = [];
  /** The daemons of calls, the runs whose replies they confirm, and the holds. */
  readonly confirmed: string[] = [];
  /** The daemons without contact with a leader. */
  readonly lagging = new Set<string>();
  /** How much longer than their hold calls take, by daemon; 2 ms by default. */
  readonly delays = new Map<string, number>();
  /** The endpoints that daemons list; none by default. */
  readonly endpoints = new Map<string, EndpointEntry[]>();
  /** The daemons that the others report silent. */
  silentCores: readonly string[] = [];
  readonly view = new GatewayView({
    logger: silentLogger,
    decodeTable: () => succeed(createTable(createRoute())),
  });
  private readonly follower: CoreFollower;

  constructor(
    private readonly daemons: Readonly<Record<string, Daemon>>,
    private readonly cores: readonly CoreDaemon[] = [],
  ) {
    this.follower = new CoreFollower({
      view: this.view,
      clock: this.clock,
      logger: silentLogger,
      run: 'g/1',
      listSeeds: () => Object.keys(daemons),
      region: 'r',
      dataCentre: 'a',
      random: () => 0.5,
      createReport: () => createGatewayReport({address: 'g', open: false}),
      call: (address, {holdMs, epoch}, timeoutMs) => {
        this.confirmed.push(`${address}: ${epoch} ${holdMs}`);
        return this.answer(address, holdMs, timeoutMs);
      },
    });
    this.follower.start();
  }

  [Symbol.dispose](): void {
    this.follower[Symbol.dispose]();
  }

  private async answer(
    address: string,
    holdMs: number,
    timeoutMs: number,
  ): Promise<FollowReply> {
    this.calls.push(address);
    const configuration = this.daemons[address]?.(this.clock.now()) ?? null;
    const delayMs = this.delays.get(address) ?? 2;
    await this.clock.sleep(configuration ? holdMs + delayMs : timeoutMs);
    if (!configuration) throw new Error('timed out');
    return createFollowReply({
      epoch: address,
      cores: this.cores,
      fresh: !this.lagging.has(address),
      silentCores: this.silentCores,
      settled: true,
      endpoints: this.endpoints.get(address) ?? [],
      configuration: configuration.document === null ? null : configuration,
    });
  }
}

test('CoreFollower finds a configuration while other daemons are down', async () => {
  using core = new FakeCore({
    a: () => null,
    b: () => null,
    c: nowMs => (nowMs >= 250 ? IN_FORCE : null),
  });
  // The calls made while all daemons were down time out after 700 ms.
  await core.clock.advance(1_100);
  assert.equal(core.view.revision, 7);
  assert.equal(core.calls.at(-1), 'c');
});

test('CoreFollower skips a daemon that lost its configuration', async () => {
  using core = new FakeCore({a: () => EMPTY, b: () => IN_FORCE});
  await core.clock.advance(100);
  assert.equal(core.view.revision, 7);
});

test('CoreFollower calls one daemon at a time with a configuration', async () => {
  using core = new FakeCore({a: () => IN_FORCE, b: () => IN_FORCE});
  await core.clock.advance(500);
  const before = core.calls.length;
  await core.clock.advance(2_000);
  assert.ok(core.calls.length - before <= 5);
  assert.equal(new Set(core.calls.slice(before)).size, 1);
});

test('CoreFollower calls an unchanged core little more than once a second', async () => {
  using core = new FakeCore({a: () => IN_FORCE});
  await core.clock.advance(500);
  const before = core.calls.length;
  await core.clock.advance(8_000);
  assert.ok(core.calls.length - before <= 11);
});

// Guards against a gateway that is killed at the end of its grace time, since
// it still waits for a core daemon that lost power.
test('CoreFollower stops without waiting for its open call', async () => {
  const core = new FakeCore({a: nowMs => (nowMs < 500 ? IN_FORCE : null)});
  await core.clock.advance(1_500);
  const calls = core.calls.length;
  // Returns no promise: there is nothing to wait for.
  assert.equal(core[Symbol.dispose](), undefined);
  await core.clock.advance(5_000);
  assert.equal(core.calls.length, calls);
});

/** When the near daemons of `createLosses()` are lost. */
const FAIL_AT_MS = 500;

/** Five near daemons, which are lost, and a far one with a newer configuration. */
function createLosses(): FakeCore {
  const near = ['near1', 'near2', 'near3', 'near4', 'near5'];
  const fail: Daemon = nowMs => (nowMs < FAIL_AT_MS ? IN_FORCE : null);
  const newer = {...IN_FORCE, revision: 8};
  const daemons: Record<string, Daemon> = {
    ...Object.fromEntries(near.map(name => [name, fail])),
    far: nowMs => (nowMs < FAIL_AT_MS ? IN_FORCE : newer),
  };
  const cores = Object.keys(daemons).map(address => ({
    address,
    region: address === 'far' ? 'other' : 'r',
    dataCentre: 'b',
    controlAddress: '',
  }));
  return new FakeCore(daemons, cores);
}

// Guards against a gateway that goes on calling lost daemons of its own region,
// which other daemons still list, and never reaches one that runs.
test('CoreFollower reaches a daemon behind nearer ones that are lost', async () => {
  using core = createLosses();
  await core.clock.advance(FAIL_AT_MS);
  assert.equal(core.view.revision, 7);
  await core.clock.advance(6_000);
  assert.equal(core.view.revision, 8);
});

// Guards against a gateway that waits for each lost daemon in turn, although the
// one that it followed knew which were silent.
test('CoreFollower passes over daemons that the core reports silent', async () => {
  using core = createLosses();
  core.silentCores = ['near2', 'near3', 'near4', 'near5'];
  await core.clock.advance(FAIL_AT_MS);
  assert.equal(core.view.revision, 7);
  // The call that was open when the followed daemon was lost, and one more.
  await core.clock.advance(2_500);
  assert.equal(core.view.revision, 8);
});

// Guards against acknowledgements that wait for a gateway at the daemon that it
// left, whose last reply it did not confirm.
test('CoreFollower confirms to the daemon that it leaves for one with room', async () => {
  const daemons = {crowded: () => IN_FORCE, other: () => IN_FORCE};
  const place = {region: 'r', dataCentre: 'a', controlAddress: ''};
  const cores = [
    {address: 'crowded', ...place, followers: 1},
    {address: 'other', ...place, followers: 1},
  ];
  using core = new FakeCore(daemons, cores);
  await core.clock.advance(2_000);
  const [left, next] =
    core.calls.at(-1) === 'crowded'
      ? ['crowded', 'other']
      : ['other', 'crowded'];
  for (const each of cores) each.followers = each.address === left ? 20 : 0;
  await core.clock.advance(4_000);
  assert.equal(core.calls.at(-1), next);
  const move = core.confirmed.indexOf(`${next}:  0`, 3);
  assert.deepEqual(core.confirmed.slice(move - 1, move + 4), [
    `${left}: ${left} 800`,
    `${next}:  0`,
    // Held while the next daemon has not answered.
    `${left}: ${left} 800`,
    `${left}: ${left} 0`,
    `${next}: ${next} 800`,
  ]);
  assert.equal(core.calls.lastIndexOf(left ?? ''), move + 2);
});

// Guards against a gateway that stays with a daemon which is cut off from the
// others and takes all of them for silent.
test('CoreFollower ignores what a daemon that lags reports of others', async () => {
  const newer = {...IN_FORCE, revision: 8};
  const daemons = {
    near: () => IN_FORCE,
    far: (nowMs: number) => (nowMs < FAIL_AT_MS ? IN_FORCE : newer),
  };
  const cores = Object.keys(daemons).map(address => ({
    address,
    region: address === 'near' ? 'r' : 'other',
    dataCentre: 'b',
    controlAddress: '',
  }));
  using core = new FakeCore(daemons, cores);
  await core.clock.advance(FAIL_AT_MS);
  core.lagging.add('near');
  core.silentCores = ['far'];
  await core.clock.advance(2_500);
  assert.equal(core.view.revision, 8);
});

// Guards against gateways that fetch whole lists from all daemons in turn while
// no daemon has contact with a leader.
test('CoreFollower stays with the nearest while all daemons lag', async () => {
  const cores = ['near', 'far1', 'far2'].map(address => ({
    address,
    region: address === 'near' ? 'r' : 'other',
    dataCentre: 'b',
    controlAddress: '',
  }));
  const daemons = Object.fromEntries(
    cores.map(({address}) => [address, () => IN_FORCE]),
  );
  using core = new FakeCore(daemons, cores);
  await core.clock.advance(500);
  for (const {address} of cores) core.lagging.add(address);
  await core.clock.advance(5_000);
  const before = core.calls.length;
  await core.clock.advance(2_000);
  const late = core.calls.slice(before);
  assert.ok(
    late.filter(address => address !== 'near').length <= 2,
    late.join(),
  );
});

/** Daemons of equal places with these configurations. */
function createFleet(daemons: Readonly<Record<string, Daemon>>): FakeCore {
  const cores = Object.keys(daemons).map(address => ({
    address,
    region: 'r',
    dataCentre: 'b',
    controlAddress: '',
  }));
  return new FakeCore(daemons, cores);
}

// Guards against a gateway that was cut off and takes all daemons but the first
// that answers again for silent, although that one lags: it stays with it.
for (const lagging of ['a', 'b', 'c', 'd']) {
  test(`CoreFollower leaves ${lagging}, which lags, after it was cut off from all`, async () => {
    const isCut = (nowMs: number) => nowMs >= 500 && nowMs < 9_000;
    const newer = {...IN_FORCE, revision: 8};
    const daemon =
      (configuration: Configuration): Daemon =>
      nowMs =>
        isCut(nowMs) ? null : nowMs < 500 ? IN_FORCE : configuration;
    using core = createFleet(
      Object.fromEntries(
        ['a', 'b', 'c', 'd'].map(name => [
          name,
          daemon(name === lagging ? IN_FORCE : newer),
        ]),
      ),
    );
    await core.clock.advance(500);
    core.lagging.add(lagging);
    await core.clock.advance(8_500);
    assert.equal(core.view.revision, 7);
    await core.clock.advance(1_800);
    assert.equal(core.view.revision, 8);
  });
}

// Guards against a gateway that stays with a daemon which belongs to no group, and
// never lags less, since it takes the others for silent for half a minute.
test('CoreFollower tries silent daemons while the one that answers lags', async () => {
  const newer = {...IN_FORCE, revision: 8};
  using core = createFleet({
    a: nowMs => (nowMs < 500 || nowMs >= 6_000 ? newer : null),
    b: () => IN_FORCE,
  });
  core.lagging.add('b');
  core.lagging.add('a');
  await core.clock.advance(700);
  core.lagging.delete('a');
  await core.clock.advance(9_000);
  assert.equal(core.view.revision, 8);
  assert.equal(core.calls.at(-1), 'a');
});

// Guards against changes that come seconds late where a daemon froze.
test('CoreFollower calls another daemon while an answer is late', async () => {
  const newer = {...IN_FORCE, revision: 8};
  using core = createFleet({
    a: nowMs => (nowMs < 500 ? IN_FORCE : null),
    b: nowMs => (nowMs < 500 ? IN_FORCE : newer),
  });
  await core.clock.advance(500);
  // The next call is held for 0.8 s before its answer is late.
  await core.clock.advance(1_600);
  assert.equal(core.view.revision, 8);
});

// Guards against an older configuration from a daemon that has just restarted.
test('CoreFollower prefers a configuration that the leader confirmed', async () => {
  const newer = {...IN_FORCE, revision: 8};
  using core = createFleet({
    a: () => IN_FORCE,
    b: nowMs => (nowMs >= 300 ? newer : null),
  });
  core.lagging.add('a');
  await core.clock.advance(500);
  assert.equal(core.view.revision, 0);
  await core.clock.advance(700);
  assert.equal(core.view.revision, 8);
});

test('CoreFollower takes an unconfirmed configuration while no daemon has a leader', async () => {
  using core = createFleet({a: () => IN_FORCE, b: () => null});
  core.lagging.add('a');
  await core.clock.advance(1_000);
  assert.equal(core.view.revision, 7);
});

// Guards against endpoints that a gateway forgets, until they change, for the list
// of a daemon that answered late.
test('CoreFollower forgets no endpoint for a list that arrives late', async () => {
  using core = createFleet({a: () => IN_FORCE, b: () => IN_FORCE});
  await core.clock.advance(500);
  const first = core.calls.at(-1) ?? '';
  const second = first === 'a' ? 'b' : 'a';
  core.endpoints.set(second, [createEndpoint('e1')]);
  // The daemon that is followed answers 0.6 s after its hold: late, but in time.
  core.delays.set(first, 600);
  await core.clock.advance(1_900);
  assert.ok(core.view.findEndpoint('e1'));
  await core.clock.advance(600);
  assert.ok(core.view.findEndpoint('e1'));
});

test.run();
