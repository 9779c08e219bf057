/**
 * Advances and ends roll-outs while this daemon leads the control group.
 *
 * The controller has no state that a new leader lacks: the state of each plan
 * is committed, and all gateways repeat their evidence.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion, type RolloutPlan} from '../../protocol/declaration.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {
  RolloutCommand,
  RolloutState,
} from '../../protocol/rollout_state.ts';
import {decideRollout, type RolloutDecision} from './decide_rollout.ts';
import type {EvidenceLedger} from './evidence_ledger.ts';
import {startPeriodicTask} from '../periodic_task.ts';

/** The interval between evaluations of the roll-outs. */
const STEP_INTERVAL_MS = 500;

/** The time for gateways to report to a new leader, before it may advance. */
const EVIDENCE_REBUILD_MS = 5_000;

export interface RolloutControllerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly evidence: EvidenceLedger;
  /** Whether this daemon leads the control group now. */
  readonly isLeader: () => boolean;
  /** When this daemon became the leader, on the monotonic clock. */
  readonly getLeaderSince: () => number;
  readonly getView: () => ControlView;
  /** Commits a command; after a failure, the next step decides again. */
  readonly propose: (command: RolloutCommand) => Promise<unknown>;
}

/** Evaluates the roll-outs periodically until disposed. */
export class RolloutController implements AsyncDisposable {
  private task: AsyncDisposable | null = null;

  constructor(private readonly options: RolloutControllerOptions) {}

  start(): void {
    const {clock, logger} = this.options;
    this.task = startPeriodicTask({
      clock,
      intervalMs: STEP_INTERVAL_MS,
      step: () => this.step(),
      onError: ({message: reason}) =>
        logger.warn('Fails to evaluate roll-outs: retries next step.', {
          reason,
        }),
    });
  }

  /** Evaluates every roll-out once. */
  async step(): Promise<void> {
    const {isLeader, evidence, getView} = this.options;
    if (!isLeader()) {
      evidence.clear();
      return;
    }
    const view = getView();
    for (const state of view.rollouts) await this.stepOne(view, state);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.task?.[Symbol.asyncDispose]();
  }

  private async stepOne(view: ControlView, state: RolloutState): Promise<void> {
    const plan = view.declaration?.rollouts.find(
      each => each.model === state.model && each.version === state.version,
    );
    if (!plan) return;
    const decision = this.decide(view, state, plan);
    const command = this.createCommand(state, decision);
    if (!command) return;
    this.options.logger.info('Proposes a change to a roll-out.', {
      model: state.model,
      version: state.version,
      stage: state.stage + 1,
      decision: decision.type,
      reason: decision.reason,
    });
    await this.options.propose(command);
  }

  private decide(
    view: ControlView,
    state: RolloutState,
    plan: RolloutPlan,
  ): RolloutDecision {
    const {evidence, clock} = this.options;
    const formatName = (name: string) =>
      formatVersion({model: state.model, name});
    const stable = view.declaration?.versions.find(
      each => formatVersion(each) === formatName(state.stable),
    );
    return decideRollout({
      plan,
      state,
      candidate: evidence.listWindows(formatName(state.version)),
      stable: evidence.getTotal(formatName(state.stable)),
      stableQuality: stable?.expected_quality ?? 0,
      nowMs: clock.now(),
    });
  }

  private createCommand(
    state: RolloutState,
    decision: RolloutDecision,
  ): RolloutCommand | null {
    const {model, version} = state;
    const {clock, getLeaderSince} = this.options;
    switch (decision.type) {
      case 'wait':
        return null;
      case 'advance': {
        const age = clock.monotonic() - getLeaderSince();
        if (age < EVIDENCE_REBUILD_MS) return null;
        const fromStage = state.stage;
        const atMs = clock.now();
        return {type: 'advance_rollout', model, version, fromStage, atMs};
      }
      case 'back-out': {
        const {reason} = decision;
        const status = 'backed-out';
        return {type: 'end_rollout', model, version, status, reason};
      }
      case 'withdraw': {
        const {reason} = decision;
        const status = 'withdrawn';
        return {type: 'end_rollout', model, version, status, reason};
      }
    }
  }
}
