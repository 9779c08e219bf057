/** Messages between the gateways and the core daemons of a simulated site. */
import type {GatewayReport} from '../../protocol/core_service.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {CoreState} from '../core/core_state.ts';
import {readPosition} from '../gateway/follow_position.ts';
import type {SimulatedCore} from './simulated_core.ts';
import type {SimulatedGateway} from './simulated_gateway.ts';

/** The time of a message between hosts, in ms. */
const MESSAGE_MS = 20;

export interface FollowOnceOptions {
  readonly clock: Clock;
  /** How long the core daemon may hold the call while nothing changes, in ms. */
  readonly holdMs: number;
  /** Whether the next message is lost. */
  readonly isLost: () => boolean;
}

/** Lets a gateway send its report to a core daemon and apply the reply. */
export async function followOnce(
  gateway: SimulatedGateway,
  core: SimulatedCore | undefined,
  {clock, holdMs, isLost}: FollowOnceOptions,
): Promise<void> {
  const {fake, position} = gateway;
  if (!core) return;
  const report: GatewayReport = fake.createReport();
  await clock.sleep(MESSAGE_MS);
  if (isLost()) return;
  const revisionBefore = core.state.suspects.dueRevision;
  const answered = core.follow({
    report,
    ...position,
    configurationRevision: fake.view.revision,
    holdMs,
  });
  // Its report has been merged by now.
  core.hasUrgentChange ||= core.state.suspects.dueRevision > revisionBefore;
  const reply = await answered;
  await clock.sleep(MESSAGE_MS);
  if (isLost()) return;
  fake.view.apply(reply);
  gateway.isReady = true;
  if (reply.epoch !== position.epoch) fake.quarantine.reportAll();
  gateway.position = readPosition(reply);
}

export interface CallCoreOptions<T> {
  readonly clock: Clock;
  /** Whether the call or its reply is lost. */
  readonly isLost: () => boolean;
  /** `undefined` if there is no such daemon. */
  readonly core: SimulatedCore | undefined;
  readonly serve: (state: CoreState) => T;
}

/** Calls a core daemon; throws when there is no answer. */
export async function callCore<T>({
  clock,
  isLost,
  core,
  serve,
}: CallCoreOptions<T>): Promise<T> {
  await clock.sleep(MESSAGE_MS);
  if (isLost() || !core) throw new Error('no answer');
  const reply = serve(core.state);
  await clock.sleep(MESSAGE_MS);
  return reply;
}
