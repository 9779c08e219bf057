import assert from 'node:assert/strict';
import {test} from 'uvu';
import {silentLogger} from '../../protocol/logger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {RoutingCommand} from '../../protocol/routing_commands.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createNotifier} from '../notifier.ts';
import {Orders, type ChangeOutcome} from './orders.ts';

const COMMIT_MS = 200;

function createReplace(version: number): RoutingCommand {
  return {type: 'replace', version, document: `document ${version}`};
}

/** Orders at a daemon whose leader commits what is proposed, or does not answer. */
class OrdersFixture {
  readonly clock = new SimulatedClock();
  readonly proposed: RoutingCommand[] = [];
  readonly confirmed: number[] = [];
  readonly pursuits: AbortSignal[] = [];
  configuration = {revision: 1, version: 1 as number | null};
  hasLeader = true;
  private readonly changes = createNotifier(this.clock);
  private readonly orders = new Orders({
    clock: this.clock,
    logger: silentLogger,
    changes: this.changes,
    getConfiguration: () => this.configuration,
    propose: (command, signal) => this.propose(command, signal),
    confirmer: {
      waitUntilObeyed: async ({configurationRevision}) => {
        this.confirmed.push(configurationRevision);
        return {isHeld: true, behind: []};
      },
    },
  });

  place(command: RoutingCommand, signal?: AbortSignal) {
    const placed: {outcome: ChangeOutcome | null} = {outcome: null};
    void this.orders
      .place(command, signal)
      .then(outcome => (placed.outcome = outcome));
    return placed;
  }

  /** Commits a version as another daemon would. */
  commit(version: number): void {
    this.configuration = {revision: this.configuration.revision + 1, version};
    this.changes.notify();
  }

  private async propose(
    command: RoutingCommand,
    signal?: AbortSignal,
  ): Promise<ProposeReply> {
    this.proposed.push(command);
    if (signal) this.pursuits.push(signal);
    await this.clock.sleep(this.hasLeader ? COMMIT_MS : 2_500, signal);
    if (!this.hasLeader) return {type: 'unknown'};
    if (command.type === 'replace') this.commit(command.version);
    const {revision} = this.configuration;
    return {type: 'committed', result: {type: 'accepted', revision}};
  }
}

// Guards against an overtaken order that takes another entry at each repetition.
test('an order that is overtaken is acknowledged without an entry', async () => {
  const fixture = new OrdersFixture();
  fixture.commit(9);
  const placed = fixture.place(createReplace(8));
  await fixture.clock.advance(1);
  assert.equal(placed.outcome, 'accepted');
  assert.equal(fixture.proposed.length, 0);
  assert.deepEqual(fixture.confirmed, [2]);
});

test('identical orders in progress share one proposal', async () => {
  const fixture = new OrdersFixture();
  const placed = [2, 2, 2].map(version =>
    fixture.place(createReplace(version)),
  );
  await fixture.clock.advance(COMMIT_MS + 1);
  assert.deepEqual(
    placed.map(({outcome}) => outcome),
    ['accepted', 'accepted', 'accepted'],
  );
  assert.equal(fixture.proposed.length, 1);
  assert.equal(fixture.confirmed.length, 1);
});

test('an order waits for the one in progress that overtakes it', async () => {
  const fixture = new OrdersFixture();
  const higher = fixture.place(createReplace(5));
  const lower = fixture.place(createReplace(4));
  await fixture.clock.advance(COMMIT_MS + 1);
  assert.equal(higher.outcome, 'accepted');
  assert.equal(lower.outcome, 'accepted');
  assert.deepEqual(fixture.proposed, [createReplace(5)]);
});

test('an order is proposed once the one that overtakes it has failed', async () => {
  const fixture = new OrdersFixture();
  fixture.hasLeader = false;
  fixture.place(createReplace(5));
  const lower = fixture.place(createReplace(4));
  await fixture.clock.advance(2_499);
  fixture.hasLeader = true;
  await fixture.clock.advance(2_600);
  assert.equal(lower.outcome, 'accepted');
});

// Guards against work for callers that have left, which others pay for.
test('an order is pursued until its last caller has left', async () => {
  const fixture = new OrdersFixture();
  fixture.hasLeader = false;
  const callers = [new AbortController(), new AbortController()];
  for (const {signal} of callers) fixture.place(createReplace(2), signal);
  await fixture.clock.advance(500);
  callers[0]?.abort('left');
  await fixture.clock.advance(1);
  assert.equal(fixture.pursuits[0]?.aborted, false);
  callers[1]?.abort('left');
  await fixture.clock.advance(1);
  assert.equal(fixture.pursuits[0]?.aborted, true);
  fixture.hasLeader = true;
  const again = fixture.place(createReplace(2));
  await fixture.clock.advance(COMMIT_MS + 1);
  assert.equal(again.outcome, 'accepted');
});

test('a roll-out that was begun is not begun again', async () => {
  const fixture = new OrdersFixture();
  const command: RoutingCommand = {
    type: 'begin_rollout',
    service: 'app',
    target: 'v2',
    durationMs: 1_000,
    atMs: 1,
  };
  const placed = [
    fixture.place(command),
    fixture.place({...command, atMs: 700}),
  ];
  await fixture.clock.advance(COMMIT_MS + 1);
  assert.deepEqual(
    placed.map(({outcome}) => outcome),
    ['accepted', 'accepted'],
  );
  assert.equal(fixture.proposed.length, 1);
});

// Guards against a drain that is acknowledged by an earlier, identical one, though
// it was taken back in between.
test('each drain takes an entry of its own', async () => {
  const fixture = new OrdersFixture();
  const command: RoutingCommand = {
    type: 'set_drain',
    dataCentre: 'a',
    isDrained: true,
  };
  const placed = [fixture.place(command), fixture.place(command)];
  await fixture.clock.advance(COMMIT_MS + 1);
  assert.deepEqual(
    placed.map(({outcome}) => outcome),
    ['accepted', 'accepted'],
  );
  assert.equal(fixture.proposed.length, 2);
  assert.equal(fixture.confirmed.length, 2);
});

test('a drain without a leader is not acknowledged', async () => {
  const fixture = new OrdersFixture();
  fixture.hasLeader = false;
  const placed = fixture.place({
    type: 'set_drain',
    dataCentre: 'a',
    isDrained: false,
  });
  await fixture.clock.advance(2_600);
  assert.equal(placed.outcome, 'unavailable');
});

test.run();
