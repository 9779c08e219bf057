/**
 * Plans one completion: selects the cheapest versions that meet the quality
 * target within the latency budget, subject to the active roll-outs.
 *
 * The plan depends on the options alone. A plan without steps means that no
 * version may run.
 */
import {formatVersion, type Version} from '../../protocol/declaration.ts';
import type {
  CompletionPlan,
  PlanCompletionOptions,
  PlanStep,
  RejectedVersion,
} from './completion_plan.ts';
import {findTarget, listEligible} from './eligible_versions.ts';
import {
  createDirectStep,
  createRatedStep,
  planCascade,
  type PlanOption,
} from './plan_cascade.ts';
import {applyRollouts, type RolloutChoice} from './rollout_choice.ts';
import {gatherFacts, type VersionFacts} from './version_facts.ts';

/** The share of requests used for exploration, if the customer allows it. */
const EXPLORATION_SHARE = 0.05;

/** The exploration share while a version has few ratings. */
const INITIAL_EXPLORATION_SHARE = 0.15;

/** A version with fewer ratings than this is explored more often. */
const FEW_RATINGS = 20;

/** The target time to first token if the customer declares none. */
const DEFAULT_FIRST_TOKEN_MS = 450;

/** The share of the deadline that the expected answer time may use. */
const DEADLINE_SHARE = 0.7;

/**
 * If no version is in time, the cheapest one is used whose time to first
 * token is at most this multiple of the fastest.
 */
const MAX_SLOWDOWN = 1.5;

interface PlanEvaluation {
  readonly options: PlanCompletionOptions;
  readonly facts: readonly VersionFacts[];
  /** Versions whose lower bound meets the target, or else the best known. */
  readonly qualified: readonly VersionFacts[];
  readonly target: number;
  readonly firstTokenMs: number;
  readonly rejected: RejectedVersion[];
  readonly reasons: string[];
}

export function planCompletion(options: PlanCompletionOptions): CompletionPlan {
  const eligible = listEligible(options);
  const rolledOut = applyRollouts(eligible.versions, options);
  const evaluation = evaluateVersions(rolledOut.versions, options);
  evaluation.rejected.push(...eligible.rejected, ...rolledOut.rejected);
  const best = selectOption(evaluation);
  if (!best) return createEmptyPlan(evaluation);
  evaluation.reasons.push(best.reason);
  const gated = applyRolloutChoice(best, rolledOut.choice, evaluation);
  return {
    steps: gated.steps,
    fallbacks: listFallbacks(gated.steps, evaluation),
    ...(rolledOut.choice?.mode === 'shadow'
      ? {shadow: rolledOut.choice.candidate}
      : {}),
    expectedCost: gated.cost,
    expectedFirstTokenMs: gated.firstTokenMs,
    expectedQuality: gated.quality,
    reasons: evaluation.reasons,
    rejected: evaluation.rejected,
  };
}

function evaluateVersions(
  versions: readonly Version[],
  options: PlanCompletionOptions,
): PlanEvaluation {
  const target = findTarget(options.customer, options.requestClass);
  const quality = target?.quality ?? 0;
  const facts = versions
    .map(version => gatherFacts(version, options))
    .sort((a, b) => a.cost - b.cost);
  const rejected: RejectedVersion[] = [];
  const reasons: string[] = [];
  const qualified: VersionFacts[] = [];
  for (const each of facts) {
    const name = formatVersion(each.version);
    if (each.quality.caveat) reasons.push(`${name}: ${each.quality.caveat}`);
    if (options.pinned === name || each.quality.lower >= quality) {
      qualified.push(each);
    } else {
      const bound = each.quality.lower.toFixed(2);
      rejected.push({version: name, reason: `quality ${bound} below target`});
    }
  }
  if (qualified.length === 0) {
    const known = selectBestKnown(facts, quality);
    if (known) {
      qualified.push(known);
      reasons.push('no version meets the target, best one known');
    }
  }
  return {
    options,
    facts,
    qualified,
    target: quality,
    firstTokenMs: target?.first_token_ms ?? DEFAULT_FIRST_TOKEN_MS,
    rejected,
    reasons,
  };
}

/** Selects the best-rated version whose declared quality meets the target. */
function selectBestKnown(
  facts: readonly VersionFacts[],
  target: number,
): VersionFacts | null {
  let best: VersionFacts | null = null;
  for (const each of facts) {
    if (each.version.expected_quality < target) continue;
    if (!best || each.quality.lower > best.quality.lower) best = each;
  }
  return best;
}

function selectOption(evaluation: PlanEvaluation): PlanOption | null {
  const {options} = evaluation;
  const single = selectSingle(evaluation);
  if (!single) return null;
  if (options.pinned !== undefined) {
    return {...single, reason: 'the session is pinned'};
  }
  const explored = selectExploration(single, evaluation);
  if (explored) return explored;
  if (options.sticky) return single;
  if (!options.rating.available) {
    evaluation.reasons.push('rating service away, kept to known bounds');
    return single;
  }
  return selectCascade(single, evaluation) ?? single;
}

/** Selects the cheapest single version within the latency budget. */
function selectSingle(evaluation: PlanEvaluation): PlanOption | null {
  const {qualified} = evaluation;
  const inTime = qualified.find(each => isInTime(each, evaluation));
  if (inTime) {
    return createSingleOption(inTime, 'cheapest at the target in time');
  }
  if (qualified.length === 0) return null;
  const fastestMs = Math.min(...qualified.map(each => each.speed.firstTokenMs));
  const first = qualified.find(
    each => each.speed.firstTokenMs <= fastestMs * MAX_SLOWDOWN,
  );
  return createSingleOption(
    first ?? qualified[0]!,
    'cheapest of the fastest at the target, none is in time',
  );
}

/**
 * Whether a version is fast enough: for a streamed answer by its time to
 * first token, otherwise by its expected total time.
 */
function isInTime(
  {speed, totalMs}: VersionFacts,
  {options, firstTokenMs}: PlanEvaluation,
): boolean {
  if (options.streamed) return speed.firstTokenMs <= firstTokenMs;
  return totalMs <= options.deadlineMs * DEADLINE_SHARE;
}

function createSingleOption(facts: VersionFacts, reason: string): PlanOption {
  return {
    steps: [createDirectStep(facts.version)],
    cost: facts.cost,
    firstTokenMs: facts.speed.firstTokenMs,
    quality: facts.quality.lower,
    reason,
  };
}

/**
 * Selects, for a share of requests, a cheaper version that may meet the
 * target: its upper quality bound reaches it, its lower bound does not yet.
 */
function selectExploration(
  single: PlanOption,
  evaluation: PlanEvaluation,
): PlanOption | null {
  const {options, facts, target} = evaluation;
  if (!options.customer.explore || !options.rating.available) return null;
  const unproven = facts.find(
    each =>
      each.cost < single.cost &&
      each.quality.lower < target &&
      each.quality.upper >= target &&
      isInTime(each, evaluation),
  );
  if (!unproven) return null;
  const few = unproven.quality.ratings < FEW_RATINGS;
  const share = few ? INITIAL_EXPLORATION_SHARE : EXPLORATION_SHARE;
  return options.random() < share
    ? createSingleOption(unproven, 'explores')
    : null;
}

function selectCascade(
  single: PlanOption,
  {options, facts, target, firstTokenMs}: PlanEvaluation,
): PlanOption | null {
  const cascade = {
    target,
    deadlineMs: options.deadlineMs,
    ratingMs: options.rating.delayMs,
    ...(options.streamed ? {firstTokenMs} : {}),
  };
  let best: PlanOption | null = null;
  for (const [index, cheap] of facts.entries()) {
    if (cheap.cost >= single.cost) break;
    for (const strong of facts.slice(index + 1)) {
      const option = planCascade(cheap, strong, cascade);
      if (option && option.cost < (best ?? single).cost) best = option;
    }
  }
  return best;
}

/** Inserts the candidate of a gated roll-out before the stable version. */
function applyRolloutChoice(
  option: PlanOption,
  choice: RolloutChoice | null,
  {options, target, reasons}: PlanEvaluation,
): PlanOption {
  if (!choice) return option;
  if (choice.mode !== 'gated') {
    reasons.push(`in the share of a ${choice.mode} roll-out`);
    return option;
  }
  const last = option.steps[option.steps.length - 1];
  if (!last || formatVersion(last.version) !== choice.stable) return option;
  const candidate = gatherFacts(choice.candidate, options);
  const heldMs = candidate.totalMs + options.rating.delayMs;
  const longestMs = heldMs + gatherFacts(last.version, options).totalMs;
  if (!options.rating.available) {
    reasons.push('gate closed, rating service away');
    return option;
  }
  if (longestMs > options.deadlineMs * DEADLINE_SHARE) {
    reasons.push('gate skipped, the deadline is too close');
    return option;
  }
  reasons.push('in the share of a gated roll-out');
  return {
    ...option,
    steps: [createRatedStep(choice.candidate, target), ...option.steps],
    cost: option.cost + candidate.cost,
    firstTokenMs: heldMs,
  };
}

/** Lists other qualified versions, in case a step has no endpoint left. */
function listFallbacks(
  steps: readonly PlanStep[],
  {qualified, options}: PlanEvaluation,
): Version[] {
  if (options.pinned !== undefined) return [];
  const planned = new Set(steps.map(step => formatVersion(step.version)));
  return qualified
    .map(each => each.version)
    .filter(version => !planned.has(formatVersion(version)));
}

function createEmptyPlan({reasons, rejected}: PlanEvaluation): CompletionPlan {
  return {
    steps: [],
    fallbacks: [],
    expectedCost: 0,
    expectedFirstTokenMs: 0,
    expectedQuality: 0,
    reasons: [...reasons, 'no version may run'],
    rejected,
  };
}
