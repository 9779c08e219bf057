import assert from 'node:assert/strict';
import {test} from 'uvu';
import type {FollowReply, FollowRequest} from '../../protocol/core_service.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {FollowerTable} from '../confirmation/follower_table.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {
  INITIAL_POSITION,
  readPosition,
  type FollowPosition,
} from '../gateway/follow_position.ts';
import {CoreState} from './core_state.ts';
import {createFollowService} from './follow_service.ts';
import {createGatewayReport} from './gateway_report_fake.ts';

const HOLD_MS = 800;

/** A core daemon, and a gateway that follows it. */
class Followed {
  readonly clock = new SimulatedClock();
  readonly state = new CoreState({
    clock: this.clock,
    logger: silentLogger,
    self: {address: 'c1', region: 'r', dataCentre: 'a', controlAddress: ''},
  });
  readonly configuration = {
    revision: 1,
    version: 1,
    document: 'document 1',
    rollouts: [],
  };
  readonly replies: FollowReply[] = [];
  private position: FollowPosition = INITIAL_POSITION;
  private revision = 0;
  private readonly follow = createFollowService({
    state: this.state,
    clock: this.clock,
    epoch: 'c1',
    getConfiguration: () => this.configuration,
    isFresh: () => true,
    followers: new FollowerTable({clock: this.clock, epoch: 'c1'}),
  });

  /** Calls again and again, as a gateway does. */
  async run(change: Partial<FollowRequest> = {}): Promise<void> {
    for (;;) {
      const reply = await this.follow({
        report: createGatewayReport({address: 'g1'}),
        ...this.position,
        configurationRevision: this.revision,
        holdMs: HOLD_MS,
        ...change,
      });
      this.replies.push(reply);
      this.position = readPosition(reply);
      this.revision = reply.configuration?.revision ?? this.revision;
      await this.clock.sleep(1);
    }
  }

  recordEndpoint(id: string): void {
    this.state.recordReport(createEndpoint(id, {address: `${id}:80`}));
  }
}

// Guards against a herd of endpoints that leave, of which each one wakes all gateways:
// their replies took the processors and links that acknowledgements needed.
test('changes in quick succession are sent together', async () => {
  const followed = new Followed();
  void followed.run();
  await followed.clock.advance(100);
  const before = followed.replies.length;
  followed.recordEndpoint('first');
  await followed.clock.advance(1);
  assert.equal(followed.replies.length, before + 1);
  for (let index = 0; index < 99; index++) {
    followed.recordEndpoint(`e${index}`);
    await followed.clock.advance(5);
  }
  await followed.clock.advance(100);
  const replies = followed.replies.slice(before);
  assert.ok(replies.length <= 15, `${replies.length} replies`);
  const sent = replies.flatMap(({endpoints}) => endpoints);
  assert.equal(sent.length, 100);
});

test('a gateway gets loads and daemons once in an interval', async () => {
  const followed = new Followed();
  void followed.run();
  await followed.clock.advance(10);
  for (let index = 0; index < 40; index++) {
    followed.recordEndpoint(`e${index}`);
    await followed.clock.advance(50);
  }
  const withLoads = followed.replies.filter(({loads}) => loads !== null);
  assert.ok(followed.replies.length >= 40);
  assert.ok(withLoads.length <= 12, `${withLoads.length} replies`);
  assert.equal(
    withLoads.length,
    followed.replies.filter(({cores}) => cores !== null).length,
  );
});

// Guards against gateways of an earlier version, which expect them with each reply.
test('a gateway that does not tell its revision gets them with each reply', async () => {
  const followed = new Followed();
  void followed.run({loadRevision: undefined});
  await followed.clock.advance(10);
  for (let index = 0; index < 10; index++) {
    followed.recordEndpoint(`e${index}`);
    await followed.clock.advance(50);
  }
  assert.ok(followed.replies.length > 10);
  assert.ok(followed.replies.every(({loads, cores}) => loads && cores));
});

test('a document that the gateway has is not sent again', async () => {
  const followed = new Followed();
  void followed.run({configurationVersion: 1});
  await followed.clock.advance(50);
  assert.equal(followed.replies[0]?.configuration?.document, null);
  followed.configuration.revision = 2;
  followed.configuration.version = 2;
  followed.configuration.document = 'document 2';
  followed.state.changes.notify();
  await followed.clock.advance(50);
  const {configuration} = followed.replies.at(-1) ?? {};
  assert.equal(configuration?.document, 'document 2');
});

test.run();
