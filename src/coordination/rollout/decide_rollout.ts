/** Decides whether a roll-out waits, advances, or ends. */
import type {RolloutPlan} from '../../protocol/declaration.ts';
import type {RolloutState} from '../../protocol/rollout_state.ts';
import {
  countRatings,
  evaluateEvidence,
  type EvidenceCounts,
} from './evaluate_evidence.ts';

/** The next action for a roll-out, with its reason. */
export type RolloutDecision =
  | {readonly type: 'wait'; readonly reason: string}
  | {readonly type: 'advance'; readonly reason: string}
  | {readonly type: 'back-out'; readonly reason: string}
  | {readonly type: 'withdraw'; readonly reason: string};

export interface DecideRolloutOptions {
  readonly plan: RolloutPlan;
  readonly state: RolloutState;
  /** Counts of the version per window, as in `EvaluateEvidenceOptions`. */
  readonly candidate: readonly EvidenceCounts[];
  readonly stable: EvidenceCounts;
  /** The quality assumed for the stable version while it has few ratings. */
  readonly stableQuality: number;
  /** The wall-clock time, comparable with the state's. */
  readonly nowMs: number;
}

const SECOND_MS = 1_000;

/** The answers of the version that a stage needs; a rating counts as one. */
const STAGE_ANSWERS = 20;

/**
 * Decides from the plan, its state and the evidence. A stage ends only on
 * answers of the version, never by time alone. A completed roll-out is still
 * tested for regressions; a paused one also ends at its deadline.
 */
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
  const [total] = options.candidate;
  const ratings = total ? countRatings(total) : 0;
  const answers = total ? Math.max(total.requests - total.errors, ratings) : 0;
  const stages = state.stage + 1;
  const missing =
    describeMissing('ratings', {
      count: ratings,
      required: plan.stage_ratings * stages,
    }) ??
    describeMissing('answers', {
      count: answers,
      required: STAGE_ANSWERS * stages,
    });
  if (missing !== null) return {type: 'wait', reason: missing};
  const reason = `${ratings} ratings of ${answers} answers show no harm`;
  return {type: 'advance', reason};
}

function describeMissing(
  what: string,
  {count, required}: {count: number; required: number},
): string | null {
  return count < required ? `${count} of ${required} ${what} are in` : null;
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
