/** Transitions of the roll-out state in the control group. */
import type {RolloutPlan} from '../../protocol/declaration.ts';
import type {
  RolloutCommand,
  RolloutState,
} from '../../protocol/rollout_state.ts';

/**
 * Reconciles the roll-outs with a new declaration.
 *
 * A plan for the same version continues at the highest stage whose share does
 * not exceed the current one; a final status is kept. A plan for another
 * version starts at its first stage.
 */
export function reconcileRollouts(
  current: readonly RolloutState[],
  plans: readonly RolloutPlan[],
  atMs: number,
): RolloutState[] {
  return plans.map(plan => {
    const known = current.find(
      each => each.model === plan.model && each.version === plan.version,
    );
    return known ? continuePlan(known, plan) : beginPlan(plan, atMs);
  });
}

/** Applies a command; returns the same array if nothing changes. */
export function applyRolloutCommand(
  current: readonly RolloutState[],
  plans: readonly RolloutPlan[],
  command: RolloutCommand,
): readonly RolloutState[] {
  const index = current.findIndex(
    each => each.model === command.model && each.version === command.version,
  );
  const known = current[index];
  const plan = plans.find(
    each => each.model === command.model && each.version === command.version,
  );
  if (!known || !plan) return current;
  const next = applyToRollout(known, plan, command);
  if (next === known) return current;
  return current.map((each, position) => (position === index ? next : each));
}

/** Whether only a new declaration can still change the roll-out. */
export function isFinal(state: RolloutState): boolean {
  return state.status === 'backed-out' || state.status === 'withdrawn';
}

function beginPlan(plan: RolloutPlan, atMs: number): RolloutState {
  return {
    model: plan.model,
    version: plan.version,
    stable: plan.stable,
    status: 'running',
    stage: 0,
    share: plan.stages[0] ?? 0,
    stageSinceMs: atMs,
    reason: 'declared',
  };
}

function continuePlan(known: RolloutState, plan: RolloutPlan): RolloutState {
  const next = {...known, stable: plan.stable};
  if (isFinal(known)) return next;
  const reached = plan.stages.filter(share => share <= known.share).length;
  const stage = Math.max(0, reached - 1);
  const share = Math.min(known.share, plan.stages[stage] ?? 0);
  // A completed plan that gained further stages resumes with them.
  const last = stage === plan.stages.length - 1;
  const status =
    known.status === 'completed' && !last ? 'running' : known.status;
  return {...next, stage, share, status};
}

function applyToRollout(
  known: RolloutState,
  plan: RolloutPlan,
  command: RolloutCommand,
): RolloutState {
  if (isFinal(known)) return known;
  switch (command.type) {
    case 'advance_rollout':
      return advance(known, plan, command);
    case 'end_rollout': {
      const {status, reason} = command;
      return {...known, status, reason, share: 0};
    }
    case 'pause_rollout':
      return pause(known, command);
  }
}

function advance(
  known: RolloutState,
  plan: RolloutPlan,
  command: Extract<RolloutCommand, {type: 'advance_rollout'}>,
): RolloutState {
  if (known.status !== 'running' || known.stage !== command.fromStage) {
    return known;
  }
  const stage = known.stage + 1;
  const share = plan.stages[stage];
  if (share === undefined) {
    return {...known, status: 'completed', reason: 'passed its last stage'};
  }
  const reason = `passed stage ${known.stage + 1}`;
  return {...known, stage, share, stageSinceMs: command.atMs, reason};
}

function pause(
  known: RolloutState,
  command: Extract<RolloutCommand, {type: 'pause_rollout'}>,
): RolloutState {
  const from = command.paused ? 'running' : 'paused';
  if (known.status !== from) return known;
  const status = command.paused ? 'paused' : 'running';
  const reason = command.paused ? 'paused by an operator' : 'resumed';
  return {...known, status, reason, stageSinceMs: command.atMs};
}
