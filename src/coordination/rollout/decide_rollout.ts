/** Decides what a roll-out does next: wait, advance, or end. */
import type {RolloutPlan} from '../../protocol/declaration.ts';
import type {RolloutState} from '../../protocol/rollout_state.ts';
import {
  countRatings,
  evaluateEvidence,
  type EvidenceCounts,
} from './evaluate_evidence.ts';

/** What to do with a roll-out now. */
export type RolloutDecision =
  | {readonly type: 'wait'; readonly reason: string}
  | {readonly type: 'advance'; readonly reason: string}
  | {readonly type: 'back-out'; readonly reason: string}
  | {readonly type: 'withdraw'; readonly reason: string};

export interface DecideRolloutOptions {
  readonly plan: RolloutPlan;
  readonly state: RolloutState;
  /** Counts of the version since a few moments, the whole first. */
  readonly candidate: readonly EvidenceCounts[];
  readonly stable: EvidenceCounts;
  /** The quality expected of the stable version before it has ratings. */
  readonly stableQuality: number;
  /** The wall time, in the same terms as the state's. */
  readonly nowMs: number;
}

/** Milliseconds in a second. */
const SECOND_MS = 1_000;

/** Decides from the plan, its state and the evidence. */
export function decideRollout(options: DecideRolloutOptions): RolloutDecision {
  const {state, plan} = options;
  if (state.status === 'backed-out' || state.status === 'withdrawn') {
    return {type: 'wait', reason: 'the roll-out has ended'};
  }
  const regression = findRegression(options);
  if (regression !== null) return {type: 'withdraw', reason: regression};
  if (state.status === 'completed') {
    return {type: 'wait', reason: 'the roll-out is complete'};
  }
  const ageMs = options.nowMs - state.stageSinceMs;
  if (ageMs >= plan.deadline_s * SECOND_MS) {
    const reason = `stage ${state.stage + 1} made no progress by its deadline`;
    return {type: 'back-out', reason};
  }
  if (state.status === 'paused') {
    return {type: 'wait', reason: 'the roll-out is paused'};
  }
  if (ageMs < plan.stage_s * SECOND_MS) {
    return {type: 'wait', reason: 'the stage has not lasted long enough'};
  }
  const required = plan.stage_ratings * (state.stage + 1);
  const ratings = options.candidate[0] ? countRatings(options.candidate[0]) : 0;
  if (ratings < required) {
    return {type: 'wait', reason: `${ratings} of ${required} ratings are in`};
  }
  return {type: 'advance', reason: `${ratings} ratings show no harm`};
}

function findRegression(options: DecideRolloutOptions): string | null {
  const verdict = evaluateEvidence({
    candidate: options.candidate,
    stable: options.stable,
    stableQuality: options.stableQuality,
    toleratedDrop: options.plan.tolerated_drop,
  });
  return verdict.halt ? verdict.reason : null;
}
