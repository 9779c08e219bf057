/**
 * Plans one completion: the cheapest versions that meet the quality target
 * within the latency budget, under the roll-outs in force.
 *
 * A plain function of its options. No steps means that no version may run.
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

/** The share of requests that explores, where the customer allows it. */
const EXPLORED_SHARE = 0.05;

/** The share while the version has few ratings. */
const FIRST_EXPLORED_SHARE = 0.15;

/** Ratings below which a version has few. */
const FEW_RATINGS = 20;

/** The time to the first token where the customer declares none. */
const DEFAULT_FIRST_TOKEN_MS = 450;

/** The share of the deadline that an answer may be expected to take. */
const DEADLINE_SHARE = 0.7;

/** How much slower than the fastest a cheaper version may be. */
const NEARLY_FASTEST = 1.5;

interface Weighing {
  readonly options: PlanCompletionOptions;
  readonly facts: readonly VersionFacts[];
  /** Those whose bound meets the target, or the best known. */
  readonly good: readonly VersionFacts[];
  readonly target: number;
  readonly firstTokenMs: number;
  readonly rejected: RejectedVersion[];
  readonly reasons: string[];
}

/** Plans a completion. */
export function planCompletion(options: PlanCompletionOptions): CompletionPlan {
  const eligible = listEligible(options);
  const rolled = applyRollouts(eligible.versions, options);
  const weighing = weigh(rolled.versions, options);
  weighing.rejected.push(...eligible.rejected, ...rolled.rejected);
  const best = selectOption(weighing);
  if (!best) return describeEmpty(weighing);
  weighing.reasons.push(best.reason);
  const gated = applyChoice(best, rolled.choice, weighing);
  return {
    steps: gated.steps,
    fallbacks: listFallbacks(gated.steps, weighing),
    ...(rolled.choice?.mode === 'shadow'
      ? {shadow: rolled.choice.candidate}
      : {}),
    expectedCost: gated.cost,
    expectedFirstTokenMs: gated.firstTokenMs,
    expectedQuality: gated.quality,
    reasons: weighing.reasons,
    rejected: weighing.rejected,
  };
}

function weigh(
  versions: readonly Version[],
  options: PlanCompletionOptions,
): Weighing {
  const target = findTarget(options.customer, options.requestClass);
  const quality = target?.quality ?? 0;
  const facts = versions
    .map(version => gatherFacts(version, options))
    .sort((a, b) => a.cost - b.cost);
  const rejected: RejectedVersion[] = [];
  const reasons: string[] = [];
  const good: VersionFacts[] = [];
  for (const each of facts) {
    const name = formatVersion(each.version);
    if (each.quality.doubt) reasons.push(`${name}: ${each.quality.doubt}`);
    if (options.pinned === name || each.quality.lower >= quality) {
      good.push(each);
    } else {
      const bound = each.quality.lower.toFixed(2);
      rejected.push({version: name, reason: `quality ${bound} below target`});
    }
  }
  if (good.length === 0) {
    const known = selectBestKnown(facts, quality);
    if (known) {
      good.push(known);
      reasons.push('no version meets the target, best one known');
    }
  }
  return {
    options,
    facts,
    good,
    target: quality,
    firstTokenMs: target?.first_token_ms ?? DEFAULT_FIRST_TOKEN_MS,
    rejected,
    reasons,
  };
}

/** The best by its ratings of those that are declared good enough. */
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

function selectOption(weighing: Weighing): PlanOption | null {
  const {options} = weighing;
  const single = selectSingle(weighing);
  if (!single) return null;
  if (options.pinned !== undefined) {
    return {...single, reason: 'the session is pinned'};
  }
  const explored = selectExplored(single, weighing);
  if (explored) return explored;
  if (options.sticky) return single;
  if (!options.rating.available) {
    weighing.reasons.push('rating service away, kept to known bounds');
    return single;
  }
  return selectCascade(single, weighing) ?? single;
}

/** The cheapest single version within the latency budget. */
function selectSingle(weighing: Weighing): PlanOption | null {
  const {good} = weighing;
  const fitting = good.find(each => isInTime(each, weighing));
  if (fitting) {
    return createSingle(fitting, 'cheapest at the target in time');
  }
  if (good.length === 0) return null;
  const fastestMs = Math.min(...good.map(each => each.speed.firstTokenMs));
  const first = good.find(
    each => each.speed.firstTokenMs <= fastestMs * NEARLY_FASTEST,
  );
  return createSingle(
    first ?? good[0]!,
    'cheapest of the fastest at the target, none is in time',
  );
}

/** Whether a version is fast enough: a stream by its first token. */
function isInTime(
  {speed, totalMs}: VersionFacts,
  {options, firstTokenMs}: Weighing,
): boolean {
  if (options.streamed) return speed.firstTokenMs <= firstTokenMs;
  return totalMs <= options.deadlineMs * DEADLINE_SHARE;
}

function createSingle(facts: VersionFacts, reason: string): PlanOption {
  return {
    steps: [createDirectStep(facts.version)],
    cost: facts.cost,
    firstTokenMs: facts.speed.firstTokenMs,
    quality: facts.quality.lower,
    reason,
  };
}

/** A cheaper version that may be better than is known. */
function selectExplored(
  single: PlanOption,
  weighing: Weighing,
): PlanOption | null {
  const {options, facts, target} = weighing;
  if (!options.customer.explore || !options.rating.available) return null;
  const unproven = facts.find(
    each =>
      each.cost < single.cost &&
      each.quality.lower < target &&
      each.quality.upper >= target &&
      isInTime(each, weighing),
  );
  if (!unproven) return null;
  const few = unproven.quality.ratings < FEW_RATINGS;
  const share = few ? FIRST_EXPLORED_SHARE : EXPLORED_SHARE;
  return options.random() < share ? createSingle(unproven, 'explores') : null;
}

function selectCascade(
  single: PlanOption,
  {options, facts, target, firstTokenMs}: Weighing,
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

/** Puts the candidate of a gated roll-out before the stable version. */
function applyChoice(
  option: PlanOption,
  choice: RolloutChoice | null,
  {options, target, reasons}: Weighing,
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

/** Other good versions for when the steps' endpoints are gone. */
function listFallbacks(
  steps: readonly PlanStep[],
  {good, options}: Weighing,
): Version[] {
  if (options.pinned !== undefined) return [];
  const planned = new Set(steps.map(step => formatVersion(step.version)));
  return good
    .map(each => each.version)
    .filter(version => !planned.has(formatVersion(version)));
}

function describeEmpty({reasons, rejected}: Weighing): CompletionPlan {
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
