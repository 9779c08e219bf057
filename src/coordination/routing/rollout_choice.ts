/** Applies the active roll-outs to the eligible versions of one request. */
import {createHash} from 'node:crypto';
import {
  formatVersion,
  type Customer,
  type Version,
} from '../../protocol/declaration.ts';
import type {RolloutState} from '../../protocol/rollout_state.ts';
import type {
  PlanCompletionOptions,
  RejectedVersion,
} from './completion_plan.ts';
import {findTarget} from './eligible_versions.ts';

/** The candidate version that this request takes part in rolling out. */
export interface RolloutChoice {
  readonly candidate: Version;
  /** The version that it replaces, as `model/version`. */
  readonly stable: string;
  readonly mode: Customer['exposure'];
}

/** The versions left for a request after the roll-outs were applied. */
export interface RolloutVersions {
  readonly versions: readonly Version[];
  readonly rejected: readonly RejectedVersion[];
  readonly choice: RolloutChoice | null;
}

/** Removes the versions that must not answer this request directly. */
export function applyRollouts(
  versions: readonly Version[],
  options: PlanCompletionOptions,
): RolloutVersions {
  let kept = versions;
  let choice: RolloutChoice | null = null;
  const rejected: RejectedVersion[] = [];
  for (const rollout of options.view.rollouts) {
    const names = formatVersionNames(rollout);
    const candidate = kept.find(
      each => formatVersion(each) === names.candidate,
    );
    if (!candidate || options.pinned === names.candidate) continue;
    const reason = findExclusionReason(rollout, options);
    const belowTarget = isBelowTarget(candidate, options);
    const declared = selectMode(rollout, options);
    // A candidate below the target answers no caller, but still runs in
    // shadow mode: its ratings decide whether the roll-out ends.
    const mode = belowTarget && declared === 'direct' ? 'shadow' : declared;
    if (reason === null) choice = {candidate, stable: names.stable, mode};
    const direct = reason === null && mode === 'direct';
    const dropped = direct ? names.stable : names.candidate;
    const rejection = describeRejection(mode, declared);
    if (!kept.some(each => formatVersion(each) === dropped)) continue;
    kept = kept.filter(each => formatVersion(each) !== dropped);
    rejected.push({version: dropped, reason: reason ?? rejection});
  }
  return {versions: kept, rejected, choice};
}

/** Whether a session or request is in the share of a roll-out. */
export function isInShare(routingKey: string, rollout: RolloutState): boolean {
  const digest = createHash('sha256')
    .update(`${formatVersionNames(rollout).candidate}\u0000${routingKey}`)
    .digest();
  return digest.readUInt32BE(0) / 2 ** 32 < rollout.share;
}

/** Describes why a version of the roll-out does not answer the caller. */
function describeRejection(
  mode: Customer['exposure'],
  declared: Customer['exposure'],
): string {
  if (mode !== declared) return 'rolled out, but below the target';
  return mode === 'direct' ? 'replaced by the roll-out' : `${mode} roll-out`;
}

/** Returns why the candidate must not run for this request, or `null`. */
function findExclusionReason(
  rollout: RolloutState,
  options: PlanCompletionOptions,
): string | null {
  const {status} = rollout;
  if (status === 'backed-out' || status === 'withdrawn') {
    return `roll-out ${status}`;
  }
  if (status !== 'completed' && !isInShare(options.routingKey, rollout)) {
    return 'outside the roll-out share';
  }
  return null;
}

/** Whether the candidate's lower quality bound misses the target. */
function isBelowTarget(
  candidate: Version,
  options: PlanCompletionOptions,
): boolean {
  const {requestClass = 'default', customer} = options;
  const target = findTarget(customer, requestClass)?.quality ?? 0;
  const {lower} = options.estimateQuality(candidate, requestClass);
  return lower < target;
}

/** Selects the exposure of the candidate for this request. */
function selectMode(
  rollout: RolloutState,
  {customer, sticky}: PlanCompletionOptions,
): Customer['exposure'] {
  if (rollout.status === 'completed') return 'direct';
  // A gated step may fall back to another version, but a session must stay on
  // one version.
  if (customer.exposure === 'gated' && sticky) return 'shadow';
  return customer.exposure;
}

function formatVersionNames({model, version, stable}: RolloutState): {
  candidate: string;
  stable: string;
} {
  return {candidate: `${model}/${version}`, stable: `${model}/${stable}`};
}
