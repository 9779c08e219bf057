/** The leader's task that advances roll-outs. */
import type {Clock} from '../../protocol/clock.ts';
import type {Configuration} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {ProposeReply} from '../../protocol/peer_service.ts';
import type {RoutingCommand} from '../../protocol/routing_commands.ts';
import {startPeriodicTask} from '../periodic_task.ts';
import type {CoreState} from './core_state.ts';
import {RolloutAges} from './rollout_ages.ts';
import type {ExposureLimit} from './plan_exposure.ts';
import {decideRolloutStep, type RolloutDecision} from './decide_rollout.ts';

/** How often roll-outs are evaluated. */
const INTERVAL_MS = 200;

export interface RolloutTaskOptions {
  readonly state: CoreState;
  readonly clock: Clock;
  readonly logger: Logger;
  /** The share of requests that a new version gets first. */
  readonly canaryShare: number;
  /** What a new version may get in the whole time of its roll-out. */
  readonly limit: ExposureLimit;
  readonly isLeader: () => boolean;
  readonly getConfiguration: () => Configuration;
  readonly propose: (command: RoutingCommand) => Promise<ProposeReply>;
}

/** Starts the task; on a daemon that is not the leader it only observes. */
export function startRolloutTask(options: RolloutTaskOptions): AsyncDisposable {
  const {clock, logger} = options;
  const watched: WatchedSteps = new Map();
  const ages = new RolloutAges(clock);
  return startPeriodicTask({
    clock,
    intervalMs: INTERVAL_MS,
    step: () => stepRollouts(options, {watched, ages}),
    onError: error =>
      logger.warn('Could not advance the roll-outs; retries.', {
        reason: error.message,
      }),
  });
}

/** Since when the current step of each service's roll-out is observed. */
type WatchedSteps = Map<
  string,
  {readonly step: string; readonly since: number}
>;

async function stepRollouts(
  options: RolloutTaskOptions,
  {watched, ages}: {watched: WatchedSteps; ages: RolloutAges},
): Promise<void> {
  const {state, clock, isLeader, getConfiguration, canaryShare, limit} =
    options;
  const running = getConfiguration().rollouts.filter(
    rollout => rollout.state === 'running',
  );
  // Followers observe too, so that a later leader knows the roll-outs' ages.
  ages.observe(running);
  if (!isLeader()) return watched.clear();
  if (running.length === 0) return;
  const evidence = state.gateways.listEvidence();
  const paces = state.gateways.listPaces();
  const endpoints = state.endpoints.list();
  const now = clock.monotonic();
  for (const rollout of running) {
    const {service, target, share, movesSessions} = rollout;
    const step = `${target} ${share} ${movesSessions}`;
    const known = watched.get(service);
    const since = known?.step === step ? known.since : now;
    watched.set(service, {step, since});
    const decision = decideRolloutStep({
      rollout,
      evidence,
      paces,
      nowMs: rollout.beganAtMs + ages.getAgeMs(rollout),
      hasEndpoints: endpoints.some(
        each =>
          each.service === service &&
          each.version === target &&
          each.state === 'ready',
      ),
      canaryShare,
      limit,
      watchedMs: now - since,
    });
    const command = createCommand(decision, {service, target});
    if (!command) continue;
    const {type, ...details} = decision;
    options.logger.info('Decides the next step of a roll-out.', {
      service,
      target,
      decision: type,
      ...details,
    });
    await options.propose(command);
  }
}

function createCommand(
  decision: RolloutDecision,
  rollout: {service: string; target: string},
): RoutingCommand | null {
  switch (decision.type) {
    case 'none':
      return null;
    case 'share':
      return {
        type: 'set_share',
        ...rollout,
        share: decision.share,
        movesSessions: decision.movesSessions,
      };
    case 'complete':
      return {type: 'finish_rollout', ...rollout, state: 'complete'};
    case 'revert':
      return {type: 'finish_rollout', ...rollout, state: 'reverted'};
  }
}
