/**
 * Decides the next step of a roll-out by what gateways saw of its version.
 *
 * The new version gets a small share at first, so that a bad one reaches few
 * callers. It takes over in the second half of the time, in steps that each
 * leave time to see a version that fails only under load. Sessions move to the
 * new version only in that half.
 */
import type {
  ServiceRollout,
  VersionEvidence,
} from '../../protocol/core_service.ts';

/** Steps after the first: when they begin, as a share of the duration. */
const STEPS: ReadonlyArray<{readonly from: number; readonly share: number}> = [
  {from: 0.55, share: 0.3},
  {from: 0.65, share: 0.6},
  {from: 0.75, share: 1},
];

/** When a version that holds is complete, as a share of the duration. */
const COMPLETE_FROM = 0.88;

/** The fewest answers that are judged. */
const MIN_ANSWERS = 6;

/** The fewest answers without which a version is not completed. */
const MIN_COMPLETE_ANSWERS = 20;

/**
 * How many standard errors the failure rate of a version may lie above that
 * of the old one.
 */
const MAX_DEVIATION = 3;

/** The rise of the failure rate that is never held against a version. */
const TOLERATED_RISE = 0.08;

export interface RolloutView {
  readonly rollout: ServiceRollout;
  readonly evidence: readonly VersionEvidence[];
  readonly nowMs: number;
  /** Whether the target has endpoints that are ready. */
  readonly hasEndpoints: boolean;
  /** The first share, below the largest allowed one. */
  readonly canaryShare: number;
}

export type RolloutDecision =
  | {readonly type: 'none'}
  | {readonly type: 'share'; readonly share: number}
  | {readonly type: 'complete'}
  | {readonly type: 'revert'; readonly reason: string};

/** Returns what to do now with a running roll-out. */
export function decideRolloutStep(view: RolloutView): RolloutDecision {
  const {rollout, nowMs, hasEndpoints, canaryShare} = view;
  const reason = findFault(view);
  if (reason !== null) return {type: 'revert', reason};
  const passed = (nowMs - rollout.beganAtMs) / rollout.durationMs;
  const target = tally(view.evidence, rollout, isTarget);
  if (passed >= 1 && target.answers < MIN_COMPLETE_ANSWERS) {
    return {type: 'revert', reason: 'it was not tried in time'};
  }
  if (!hasEndpoints) return {type: 'none'};
  if (passed >= COMPLETE_FROM && rollout.share === 1) return {type: 'complete'};
  const step = STEPS.filter(({from}) => passed >= from).at(-1);
  const wanted = step?.share ?? canaryShare;
  // Each step is seen before the next is taken, also by a late leader.
  const ladder = [canaryShare, ...STEPS.map(({share}) => share)];
  const next = ladder.find(share => share > rollout.share) ?? 1;
  const share = Math.min(wanted, next);
  return share > rollout.share ? {type: 'share', share} : {type: 'none'};
}

/** Why the version must go; `null` when nothing speaks against it. */
function findFault({rollout, evidence}: RolloutView): string | null {
  const routes = new Set(evidence.map(({route}) => route));
  const scopes = [null, ...routes];
  for (const route of scopes) {
    const inScope = evidence.filter(
      each => route === null || each.route === route,
    );
    const target = tally(inScope, rollout, isTarget);
    const stable = tally(inScope, rollout, isOther);
    const where = route === null ? 'all routes' : `route "${route}"`;
    if (
      isWorse(target.failures, target.answers, stable.failures, stable.answers)
    ) {
      return `${target.failures} of ${target.answers} failed on ${where}`;
    }
    if (isWorse(target.slow, target.answers, stable.slow, stable.answers)) {
      return `${target.slow} of ${target.answers} were slow on ${where}`;
    }
  }
  return null;
}

function isWorse(
  bad: number,
  all: number,
  stableBad: number,
  stableAll: number,
): boolean {
  if (all < MIN_ANSWERS) return false;
  // Laplace's estimate keeps a rate of 0 from having no spread.
  const expected = (stableBad + 1) / (stableAll + 10);
  const rate = bad / all;
  const error = Math.sqrt((expected * (1 - expected)) / all);
  return (
    rate - expected > TOLERATED_RISE &&
    (rate - expected) / error > MAX_DEVIATION
  );
}

const isTarget = (evidence: VersionEvidence, rollout: ServiceRollout) =>
  evidence.version === rollout.target;

const isOther = (evidence: VersionEvidence, rollout: ServiceRollout) =>
  evidence.version !== rollout.target;

function tally(
  evidence: readonly VersionEvidence[],
  rollout: ServiceRollout,
  matches: (evidence: VersionEvidence, rollout: ServiceRollout) => boolean,
) {
  const sum = {answers: 0, failures: 0, slow: 0};
  for (const each of evidence) {
    if (each.service !== rollout.service || !matches(each, rollout)) continue;
    sum.answers += each.answers;
    sum.failures += each.failures;
    sum.slow += each.slow;
  }
  return sum;
}
