/**
 * Plans how much of a service's pace each rank and customer may use.
 *
 * More urgent ranks go first, but each rank and each customer keeps a floor.
 * Within a rank the pace is shared by max-min fairness, weighted by what customers
 * usually send: what one does not use goes to the others.
 */
import type {FlowDemand} from './demand_window.ts';

/**
 * The least part of its demand that a rank is served, relative to all. Callers
 * need a quarter; the rest covers the error of the measured demand.
 */
const RANK_FLOOR = 0.35;

/** The same for a customer, relative to its rank. */
const CUSTOMER_FLOOR = 0.3;

/**
 * Weight that a customer gets on top of its usual demand, relative to the mean.
 * Lets a customer that is new, or seldom calls, have a part.
 */
const SMALL_WEIGHT = 0.1;

/**
 * The demand, as a factor of the usual one, up to which floors grow with it. What
 * exceeds it is mostly repeats of refused requests, which must gain nothing.
 */
const MAX_SURGE = 8;

/**
 * The least part of its weight that a customer keeps that asks more often than in any
 * surge. One that repeats at once would else find what others leave unused.
 */
const MIN_REPEAT_WEIGHT = 0.35;

export interface FlowShare {
  readonly rank: number;
  readonly customer: string;
  /** The weight within the rank. */
  readonly weight: number;
  /** Requests per second that it may have; `Infinity` when not cut. */
  readonly perSecond: number;
}

export interface RankShare {
  readonly rank: number;
  /** Requests per second that are served of this rank. */
  readonly perSecond: number;
  /** Requests per second that it gets even if more urgent ranks wait. */
  readonly floorPerSecond: number;
}

export interface Shares {
  readonly ranks: readonly RankShare[];
  readonly flows: readonly FlowShare[];
}

/** Plans the shares of a pace in requests per second. */
export function planShares(
  allDemand: readonly FlowDemand[],
  pacePerSecond: number,
): Shares {
  const demand = limitSurges(allDemand);
  const total = sumDemand(demand);
  const servedShare = total === 0 ? 1 : Math.min(1, pacePerSecond / total);
  const ranks = [...new Set(demand.map(({rank}) => rank))].sort(
    (a, b) => a - b,
  );
  const byRank = ranks.map(rank => {
    const flows = demand.filter(each => each.rank === rank);
    const asked = sumDemand(flows);
    return {rank, flows, asked, floor: RANK_FLOOR * servedShare * asked};
  });
  let left = pacePerSecond;
  for (const {floor} of byRank) left -= floor;
  const shares: RankShare[] = [];
  const flows: FlowShare[] = [];
  for (const {rank, flows: members, asked, floor} of byRank) {
    const extra = Math.max(0, Math.min(asked - floor, left));
    left -= extra;
    const perSecond = floor + extra;
    shares.push({rank, perSecond, floorPerSecond: floor});
    flows.push(...planFlows(members, {asked, perSecond}));
  }
  return {ranks: shares, flows};
}

interface LimitedDemand extends FlowDemand {
  /** The part of its weight that a customer keeps. */
  readonly weightPart: number;
}

/** Limits the demand of each flow by what it usually sends. */
function limitSurges(demand: readonly FlowDemand[]): LimitedDemand[] {
  const usual = demand.reduce((sum, each) => sum + each.usualPerSecond, 0);
  if (usual === 0) return demand.map(each => ({...each, weightPart: 1}));
  const least = (SMALL_WEIGHT * usual) / demand.length;
  return demand.map(each => {
    const limit = MAX_SURGE * Math.max(least, each.usualPerSecond);
    const part = each.perSecond > limit ? limit / each.perSecond : 1;
    return {
      ...each,
      perSecond: Math.min(each.perSecond, limit),
      weightPart: Math.max(MIN_REPEAT_WEIGHT, part),
    };
  });
}

interface RankPace {
  readonly asked: number;
  readonly perSecond: number;
}

function planFlows(
  demand: readonly LimitedDemand[],
  {asked, perSecond}: RankPace,
): FlowShare[] {
  const usual = demand.reduce((sum, each) => sum + each.usualPerSecond, 0);
  const mean = usual / Math.max(1, demand.length);
  const servedShare = asked > 0 ? Math.min(1, perSecond / asked) : 1;
  const weighted = demand.map(each => ({
    ...each,
    weight:
      each.weightPart *
      (mean > 0 ? each.usualPerSecond + SMALL_WEIGHT * mean : 1),
    floor: each.weightPart * CUSTOMER_FLOOR * servedShare * each.perSecond,
  }));
  const isCut = asked > perSecond;
  const level = isCut ? findLevel(weighted, perSecond) : Infinity;
  return weighted.map(({rank, customer, weight, floor}) => ({
    rank,
    customer,
    weight,
    perSecond: Math.max(floor, level * weight),
  }));
}

interface Weighted extends FlowDemand {
  readonly weight: number;
  readonly floor: number;
}

/** Finds the pace per weight up to which every customer is served. */
function findLevel(flows: readonly Weighted[], perSecond: number): number {
  // What a level gives grows with it, by pieces that begin at a floor and end at a demand.
  const points = flows
    .flatMap(({weight, floor, perSecond: asked}) => [
      {level: floor / weight, slope: weight},
      {level: asked / weight, slope: -weight},
    ])
    .sort((a, b) => a.level - b.level);
  let given = flows.reduce((sum, {floor}) => sum + floor, 0);
  let slope = 0;
  let level = 0;
  for (const point of points) {
    const next = given + slope * (point.level - level);
    if (next >= perSecond) break;
    given = next;
    level = point.level;
    slope += point.slope;
  }
  return slope <= 0 ? level : level + Math.max(0, perSecond - given) / slope;
}

function sumDemand(demand: readonly FlowDemand[]): number {
  return demand.reduce((sum, {perSecond}) => sum + perSecond, 0);
}
