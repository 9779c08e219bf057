/** What the roll-outs in force mean for one request. */
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

/** A candidate that this request is to meet. */
export interface RolloutChoice {
  readonly candidate: Version;
  /** The version that it replaces, as `model/version`. */
  readonly stable: string;
  readonly mode: Customer['exposure'];
}

/** The versions of a request after its roll-outs. */
export interface RolloutVersions {
  readonly versions: readonly Version[];
  readonly rejected: readonly RejectedVersion[];
  readonly choice: RolloutChoice | null;
}

/** Takes out the versions that this request must not meet directly. */
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
    // Nobody meets a doubtful candidate, but its ratings go on, since they
    // decide whether the roll-out ends.
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

/** Whether a session or request falls into a roll-out's share. */
export function isInShare(routingKey: string, rollout: RolloutState): boolean {
  const digest = createHash('sha256')
    .update(`${formatVersionNames(rollout).candidate}\u0000${routingKey}`)
    .digest();
  return digest.readUInt32BE(0) / 2 ** 32 < rollout.share;
}

/** Why a version of the roll-out does not serve the caller. */
function describeRejection(
  mode: Customer['exposure'],
  declared: Customer['exposure'],
): string {
  if (mode !== declared) return 'rolled out, but below the target';
  return mode === 'direct' ? 'replaced by the roll-out' : `${mode} roll-out`;
}

/** Why the candidate must not run for this request at all. */
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

/** Whether what is known of the candidate does not meet the target. */
function isBelowTarget(
  candidate: Version,
  options: PlanCompletionOptions,
): boolean {
  const {requestClass = 'default', customer} = options;
  const target = findTarget(customer, requestClass)?.quality ?? 0;
  const {lower} = options.estimateQuality(candidate, requestClass);
  return lower < target;
}

/** How the candidate reaches this request's caller. */
function selectMode(
  rollout: RolloutState,
  {customer, sticky}: PlanCompletionOptions,
): Customer['exposure'] {
  if (rollout.status === 'completed') return 'direct';
  // A gate may replace an answer, and a session must not change versions.
  if (customer.exposure === 'gated' && sticky) return 'shadow';
  return customer.exposure;
}

function formatVersionNames({model, version, stable}: RolloutState): {
  candidate: string;
  stable: string;
} {
  return {candidate: `${model}/${version}`, stable: `${model}/${stable}`};
}
