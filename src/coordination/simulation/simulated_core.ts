/** A core daemon of a simulated site. */
import type {Configuration} from '../../protocol/core_service.ts';
import type {Clock} from '../../protocol/clock.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {FollowerTable} from '../confirmation/follower_table.ts';
import {CoreState} from '../core/core_state.ts';
import {createFollowService} from '../core/follow_service.ts';
import {PeerOutbox} from '../core/peer_outbox.ts';

export interface SimulatedCore {
  state: CoreState;
  follow: ReturnType<typeof createFollowService>;
  epoch: string;
  /** Whether it has news that other core daemons get without delay. */
  hasUrgentChange: boolean;
  /** The daemons whose whole state it has merged, and what it has to tell them. */
  readonly outboxes: Map<string, PeerOutbox>;
}

const CONFIGURATION: Configuration = {
  revision: 1,
  version: 1,
  document: '',
  rollouts: [],
};

export interface SimulatedCoreOptions {
  readonly clock: Clock;
  readonly address: string;
  /** Identifies one life of the daemon. */
  readonly epoch: string;
}

/** Creates a core daemon with empty tables. */
export function createSimulatedCore({
  clock,
  address,
  epoch,
}: SimulatedCoreOptions): SimulatedCore {
  const state = new CoreState({
    clock,
    logger: silentLogger,
    self: {address, region: 'r', dataCentre: 'a', controlAddress: ''},
  });
  const follow = createFollowService({
    state,
    clock,
    epoch,
    getConfiguration: () => CONFIGURATION,
    isFresh: () => true,
    followers: new FollowerTable({clock, epoch}),
  });
  return {state, follow, epoch, hasUrgentChange: false, outboxes: new Map()};
}

/** Lets a core daemon send another one what changed since the last time. */
export function exchangeOnce(
  from: SimulatedCore,
  to: SimulatedCore,
  now: number,
): void {
  const known = from.outboxes.get(to.epoch);
  const outbox = known ?? new PeerOutbox(from.state);
  from.outboxes.set(to.epoch, outbox);
  const sent = outbox.createExchange({
    now,
    intervalMs: 0,
    wantsAll: known === undefined,
  });
  const reply = to.state.receiveExchange(sent.content);
  outbox.recordReply(sent, reply);
  from.state.mergeExchange(reply, to.state.self.address);
}
