/** What the roll-outs in force mean for one request. */
import {createHash} from 'node:crypto';
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import type {Exposure, RolloutView} from '../../protocol/rollout.ts';
import type {
  PlanCompletionOptions,
  RejectedVersion,
} from './completion_plan.ts';

/** A candidate that this request is to meet. */
export interface RolloutChoice {
  readonly candidate: Version;
  readonly stable: string;
  readonly mode: Exposure;
}

/** The versions of a request after its roll-outs. */
export interface RolledVersions {
  readonly versions: readonly Version[];
  readonly rejected: readonly RejectedVersion[];
  readonly choice: RolloutChoice | null;
}

const STRICTNESS: Readonly<Record<Exposure, number>> = {
  direct: 0,
  gated: 1,
  shadow: 2,
};

/** Takes out the candidates that this request must not meet directly. */
export function applyRollouts(
  versions: readonly Version[],
  options: PlanCompletionOptions,
): RolledVersions {
  let kept = versions;
  let choice: RolloutChoice | null = null;
  const rejected: RejectedVersion[] = [];
  const drop = (version: string, reason: string) => {
    if (!kept.some(each => formatVersion(each) === version)) return;
    kept = kept.filter(each => formatVersion(each) !== version);
    rejected.push({version, reason});
  };
  for (const rollout of options.rollouts ?? []) {
    if (rollout.status === 'done') continue;
    if (options.pinned === rollout.candidate) {
      if (rollout.status === 'running') continue;
    }
    const candidate = kept.find(
      each => formatVersion(each) === rollout.candidate,
    );
    if (!candidate) continue;
    if (rollout.status !== 'running') {
      drop(rollout.candidate, `roll-out ${rollout.status}`);
    } else if (!isInShare(options.routingKey, rollout)) {
      drop(rollout.candidate, 'outside the roll-out share');
    } else {
      const mode = selectMode(rollout, options);
      choice = {candidate, stable: rollout.stable, mode};
      if (mode === 'direct') drop(rollout.stable, 'replaced by the roll-out');
      else drop(rollout.candidate, `${mode} roll-out`);
    }
  }
  return {versions: kept, rejected, choice};
}

/** Whether a session or request falls into a roll-out's share. */
export function isInShare(routingKey: string, rollout: RolloutView): boolean {
  const digest = createHash('sha256')
    .update(`${rollout.candidate}\u0000${routingKey}`)
    .digest();
  return digest.readUInt32BE(0) / 2 ** 32 < rollout.share;
}

/** The stricter of the plan's mode and the customer's own. */
function selectMode(
  rollout: RolloutView,
  options: PlanCompletionOptions,
): Exposure {
  const own = options.customer.exposure;
  const mode = STRICTNESS[own] > STRICTNESS[rollout.mode] ? own : rollout.mode;
  // A gate may replace an answer, and a session must not change versions.
  return mode === 'gated' && options.sticky ? 'shadow' : mode;
}
