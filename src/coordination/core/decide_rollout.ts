/**
 * Decides the next step of a roll-out from the gateways' evidence.
 *
 * The new version starts with a small share, so that a bad one affects few
 * callers, and only with requests that belong to no session. In the second
 * half sessions move, too. Most of the evidence comes then, at shares that the
 * limit on the version's requests bears together with those after its completion,
 * since a version may turn out bad only at its full load.
 * A version goes on only on answers that speak for it: time alone completes
 * none.
 */
import type {
  ServiceRollout,
  VersionEvidence,
  VersionPace,
} from '../../protocol/core_service.ts';
import {computeUpperTail} from './binomial.ts';
import {comparePaces, type PaceComparison} from './compare_paces.ts';
import {computeAffordableShare, type ExposureLimit} from './plan_exposure.ts';

/**
 * When sessions may move, as a fraction of the duration: in the second half,
 * with a margin for clock skew between hosts.
 */
const SESSIONS_MOVE_FROM = 0.54;

/**
 * The share at which a version is judged once sessions move, as a multiple of
 * its first share.
 */
const TRIAL_FACTOR = 2;

/**
 * The same for a version that had few answers before, since all requests belong
 * to sessions. The others have used a part of the allowed exposure by then.
 */
const SCARCE_TRIAL_FACTOR = 10 / 3;

/** The largest share of a trial. */
const MAX_TRIAL_SHARE = 0.5;

/** Fewer answers than this are few. */
const SCARCE_ANSWERS = 60;

/** The smallest share once sessions move, as a multiple of the first one. */
const MIN_TRIAL_FACTOR = 0.2;

/** Until when the share of the trial is held, as a fraction of the duration. */
const TRIAL_UNTIL = 0.8;

/** The shares after the trial, as far as the limit bears them. */
const SHARE_STEPS = [0.5, 1];

/** The factor below which a share is not raised. */
const MIN_RISE = 1.2;

/** When a version is completed, as a fraction of the duration. */
const COMPLETE_AT = 0.92;

/** The part of all requests that is kept for the steps after the trial. */
const LOAD_RESERVE = 0.3 * (COMPLETE_AT - TRIAL_UNTIL);

/**
 * The minimum length of a step, as a fraction of the duration. It also applies
 * when a new leader is behind schedule, since evidence is up to 1 s old.
 */
const MIN_STEP = 0.04;

/** The minimum number of answers for a comparison with the old version. */
const MIN_ANSWERS = 6;

/** With fewer answers a version goes no further. */
const MIN_COMPLETE_ANSWERS = 20;

/**
 * The probability, for a version like the old one, below which a count of
 * failures or slow answers is held against it.
 */
const MAX_CHANCE = 0.0001;

/**
 * The standard errors by which a version may have fewer fast answers than the
 * old one.
 */
const MAX_DEVIATION = 3;

/** The same for more slow answers; their chances are skewed. */
const MAX_SLOW_DEVIATION = 4;

/**
 * The standard errors of slow answers and the probability of failures at which a
 * version goes no further. They are looked at a few times, the others in each step.
 */
const MAX_DOUBTFUL_SLOW_DEVIATION = 2.3;
const MIN_DOUBTFUL_CHANCE = 0.002;

/** The part of the expected fast answers that a version needs to go further. */
const MIN_FAST_SHARE = 0.5;

/** A rise of the failure rate that is always tolerated. */
const TOLERATED_RISE = 0.08;

export interface RolloutView {
  readonly rollout: ServiceRollout;
  readonly evidence: readonly VersionEvidence[];
  readonly paces: readonly VersionPace[];
  readonly nowMs: number;
  /** Whether the target has endpoints that are ready. */
  readonly hasEndpoints: boolean;
  /** The first share; smaller than the largest allowed one. */
  readonly canaryShare: number;
  /** What a version may get in the whole time of the roll-out. */
  readonly limit: ExposureLimit;
  /** How long the current share has been observed, in ms. */
  readonly watchedMs: number;
}

export type RolloutDecision =
  | {readonly type: 'none'}
  | {
      readonly type: 'share';
      readonly share: number;
      readonly movesSessions: boolean;
    }
  | {readonly type: 'complete'}
  | {readonly type: 'revert'; readonly reason: string};

/** Decides the next step of a running roll-out. */
export function decideRolloutStep(view: RolloutView): RolloutDecision {
  const {rollout, nowMs, hasEndpoints, canaryShare} = view;
  const comparison = comparePaces(view.paces, rollout);
  const reason = findSlowness(comparison) ?? findFailures(view);
  if (reason !== null) return {type: 'revert', reason};
  const progress = (nowMs - rollout.beganAtMs) / rollout.durationMs;
  const {answers} = tally(view.evidence, rollout, isTarget);
  const doubt = findDoubt(view, comparison);
  if (progress >= 1 && doubt !== null) return {type: 'revert', reason: doubt};
  if (!hasEndpoints) return {type: 'none'};
  const {movesSessions} = rollout;
  if (progress < SESSIONS_MOVE_FROM) {
    return rollout.share < canaryShare
      ? {type: 'share', share: canaryShare, movesSessions}
      : {type: 'none'};
  }
  const isTrial = progress < TRIAL_UNTIL;
  const affordable = computeAffordableShare({
    limit: view.limit,
    durationMs: rollout.durationMs,
    progress,
    heldUntil: isTrial ? TRIAL_UNTIL : COMPLETE_AT,
    laterShare: 1 - COMPLETE_AT + (isTrial ? LOAD_RESERVE : 0),
    share: rollout.share,
    targetAnswers: answers,
    answers: answers + tally(view.evidence, rollout, isOther).answers,
  });
  if (!movesSessions) {
    // Only now can the share sink: no session is at the new version yet.
    const minShare = canaryShare * MIN_TRIAL_FACTOR;
    const share = Math.min(canaryShare, Math.max(minShare, affordable));
    return {type: 'share', share, movesSessions: true};
  }
  const isStepOver = view.watchedMs >= MIN_STEP * rollout.durationMs;
  if (isTrial ? rollout.share > canaryShare : !isStepOver || doubt !== null) {
    return {type: 'none'};
  }
  if (progress >= COMPLETE_AT) return {type: 'complete'};
  const wanted = isTrial
    ? chooseTrialShare(answers, canaryShare)
    : (SHARE_STEPS.find(each => each > rollout.share) ?? 1);
  const share = Math.min(wanted, affordable);
  const canWatch = progress + MIN_STEP <= COMPLETE_AT;
  return canWatch && share >= rollout.share * MIN_RISE
    ? {type: 'share', share, movesSessions}
    : {type: 'none'};
}

/** Chooses the share at which a version is judged once sessions move. */
function chooseTrialShare(answers: number, canaryShare: number): number {
  const factor = answers < SCARCE_ANSWERS ? SCARCE_TRIAL_FACTOR : TRIAL_FACTOR;
  return Math.min(MAX_TRIAL_SHARE, canaryShare * factor);
}

/** Returns why a version may not go further yet; `null` if it may. */
function findDoubt(
  {rollout, evidence}: RolloutView,
  {fast, slow}: PaceComparison,
): string | null {
  const {answers, failures} = tally(evidence, rollout, isTarget);
  if (answers < MIN_COMPLETE_ANSWERS) {
    return 'too few answers within the roll-out duration';
  }
  if (fast.count < fast.expected * MIN_FAST_SHARE) {
    return `only ${fast.count} fast answers, ${fast.expected.toFixed(1)} expected`;
  }
  if (slow.deviation > MAX_DOUBTFUL_SLOW_DEVIATION) {
    return `${slow.count} slow answers, ${slow.expected.toFixed(1)} expected`;
  }
  const stable = tally(evidence, rollout, isOther);
  const expected = estimateShare(stable.failures, stable.answers);
  const chance = computeUpperTail({
    count: failures,
    trials: answers,
    share: expected,
  });
  return chance < MIN_DOUBTFUL_CHANCE
    ? `${failures} of ${answers} failed`
    : null;
}

/** Returns how the version is slower than the old one; `null` if it is not. */
function findSlowness({answers, fast, slow}: PaceComparison): string | null {
  if (fast.deviation < -MAX_DEVIATION) {
    return `${fast.count} of ${answers} were fast, ${fast.expected.toFixed(1)} expected`;
  }
  return slow.deviation > MAX_SLOW_DEVIATION
    ? `${slow.count} of ${answers} were slow, ${slow.expected.toFixed(1)} expected`
    : null;
}

/**
 * Returns on which routes more answers fail or are slow than with other
 * versions; `null` if on none.
 */
function findFailures({rollout, evidence}: RolloutView): string | null {
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
  badAnswers: number,
  answers: number,
  stableBadAnswers: number,
  stableAnswers: number,
): boolean {
  if (answers < MIN_ANSWERS) return false;
  const expected = estimateShare(stableBadAnswers, stableAnswers);
  return (
    badAnswers / answers - expected > TOLERATED_RISE &&
    computeUpperTail({count: badAnswers, trials: answers, share: expected}) <
      MAX_CHANCE
  );
}

/** Additive (Laplace) smoothing: at a rate of 0 any failure would be proof. */
function estimateShare(badAnswers: number, answers: number): number {
  return (badAnswers + 1) / (answers + 10);
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
