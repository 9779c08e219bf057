/** A gateway that moves from a core daemon that works to another one. */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {FollowReply, FollowRequest} from '../../protocol/core_service.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {succeed} from '../../protocol/outcome.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {
  createFollowReply,
  createRoute,
  createTable,
} from '../forwarding/forwarding_fakes.ts';
import {CoreFollower} from './core_follower.ts';
import {GatewayView} from './gateway_view.ts';

/** The time from an answer to the next call of the same daemon at most. */
const MAX_PAUSE_MS = 50;

/** What slow daemons take for an answer. */
const SLOW_MS = 400;

/** Two daemons, one of them crowded from a time on. */
class CrowdedCore implements Disposable {
  readonly clock = new SimulatedClock();
  readonly calls: Array<{
    address: string;
    leaves: boolean;
    run: string | undefined;
    atMs: number;
  }> = [];
  /** The longest time without an open call to a daemon that answers. */
  longestPauseMs = 0;
  /** Daemons that do not answer, and those without contact to the leader. */
  readonly silent = new Set<string>();
  readonly lagging = new Set<string>();
  /** Daemons whose connections break, and those that take their time. */
  readonly broken = new Set<string>();
  readonly slow = new Set<string>();
  private open = 0;
  private idleSince = 0;
  private readonly cores = ['x', 'y'].map(address => ({
    address,
    region: 'r',
    dataCentre: 'a',
    controlAddress: '',
    followers: 1,
  }));
  private readonly follower = new CoreFollower({
    view: new GatewayView({
      logger: silentLogger,
      decodeTable: () => succeed(createTable(createRoute())),
    }),
    clock: this.clock,
    logger: silentLogger,
    run: 'g/1',
    listSeeds: () => ['x', 'y'],
    region: 'r',
    dataCentre: 'a',
    random: () => 0.5,
    createReport: () => createGatewayReport({address: 'g', open: false}),
    call: (address, request, timeoutMs) =>
      this.answer(address, request, timeoutMs),
  });

  [Symbol.dispose](): void {
    this.follower[Symbol.dispose]();
  }

  /** Follows one of the daemons, and lets it be crowded; returns both. */
  async crowd(): Promise<{followed: string; other: string}> {
    this.follower.start();
    await this.clock.advance(2_000);
    const followed = this.calls.at(-1)?.address ?? '';
    for (const core of this.cores) {
      core.followers = core.address === followed ? 20 : 0;
    }
    this.calls.length = 0;
    this.longestPauseMs = 0;
    return {followed, other: followed === 'x' ? 'y' : 'x'};
  }

  private async answer(
    address: string,
    {holdMs, leaves = false, run}: FollowRequest,
    timeoutMs: number,
  ): Promise<FollowReply> {
    const atMs = this.clock.now();
    this.calls.push({address, leaves, run, atMs});
    if (this.silent.has(address)) {
      await this.clock.sleep(timeoutMs);
      throw new Error('timed out');
    }
    if (this.open++ === 0) {
      this.longestPauseMs = Math.max(
        this.longestPauseMs,
        atMs - this.idleSince,
      );
    }
    const endsAt = atMs + holdMs + (this.slow.has(address) ? SLOW_MS : 2);
    while (this.clock.now() < endsAt && !this.broken.has(address)) {
      await this.clock.sleep(2);
    }
    if (--this.open === 0) this.idleSince = this.clock.now();
    if (this.broken.has(address)) throw new Error('connection reset');
    return createFollowReply({
      epoch: address,
      cores: this.cores,
      fresh: !this.lagging.has(address),
      settled: true,
      configuration: {revision: 7, version: 3, document: '', rollouts: []},
    });
  }
}

// Guards against a gateway that learns of no change for the time in which the
// daemon that it moves to does not answer.
test('CoreFollower follows a daemon until the next one has answered', async () => {
  using core = new CrowdedCore();
  const {followed, other} = await core.crowd();
  core.silent.add(other);
  await core.clock.advance(8_000);
  assert.ok(core.calls.some(each => each.address === other));
  assert.ok(
    core.longestPauseMs <= MAX_PAUSE_MS,
    `no call to a daemon that answers for ${core.longestPauseMs} ms`,
  );
  // A daemon that was left for good would not wait for its confirmation.
  assert.ok(!core.calls.some(each => each.leaves));
  assert.equal(core.calls.at(-1)?.address, followed);
});

// Guards against a gateway that moves to a daemon without contact to the leader.
test('CoreFollower stays with a daemon if the next one lags', async () => {
  using core = new CrowdedCore();
  const {followed, other} = await core.crowd();
  core.lagging.add(other);
  await core.clock.advance(8_000);
  assert.ok(core.calls.some(each => each.address === other));
  assert.ok(!core.calls.some(each => each.leaves));
  assert.equal(core.calls.at(-1)?.address, followed);
});

// Guards against a gateway that never leaves a crowded daemon.
test('CoreFollower moves to a daemon that answers', async () => {
  using core = new CrowdedCore();
  const {other} = await core.crowd();
  await core.clock.advance(8_000);
  assert.ok(core.longestPauseMs <= MAX_PAUSE_MS);
  assert.equal(core.calls.filter(each => each.leaves).length, 1);
  assert.equal(core.calls.at(-1)?.address, other);
});

// Guards against a gateway that goes on waiting for the daemon that it has left: it
// confirms nothing to the next one until then.
test('CoreFollower calls the next daemon at once when it moves', async () => {
  using core = new CrowdedCore();
  const {other} = await core.crowd();
  await core.clock.advance(8_000);
  const left = core.calls.findIndex(each => each.leaves);
  const next = core.calls[left + 1];
  assert.equal(next?.address, other);
  const pauseMs = next.atMs - (core.calls[left]?.atMs ?? NaN);
  assert.ok(pauseMs <= MAX_PAUSE_MS, `${pauseMs} ms`);
});

// Guards against a gateway that tells the daemon that it follows that it leaves it.
test('CoreFollower leaves no daemon if the followed one fails in a move', async () => {
  using core = new CrowdedCore();
  const {followed, other} = await core.crowd();
  core.slow.add(other);
  while (!core.calls.some(each => each.address === other)) {
    await core.clock.advance(10);
  }
  core.broken.add(followed);
  await core.clock.advance(8_000);
  assert.ok(!core.calls.some(each => each.leaves));
  assert.equal(core.calls.at(-1)?.address, other);
});

// Guards against core daemons that cannot tell what a gateway has from what its run
// before had.
test('CoreFollower tells its run with each call', async () => {
  using core = new CrowdedCore();
  await core.crowd();
  await core.clock.advance(8_000);
  assert.deepEqual([...new Set(core.calls.map(({run}) => run))], ['g/1']);
});

test.run();
