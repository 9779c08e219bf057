/** Credits by which ranks and customers use their shares of a pace. */
import {planShares, type Shares} from './plan_shares.ts';
import type {DemandWindow} from './demand_window.ts';

/** How long shares are used before they are planned again. */
const PLAN_MS = 100;

/** Unused credit is kept for this long. */
const KEEP_MS = 1_000;

export interface FlowKey {
  readonly rank: number;
  readonly customer: string;
}

export interface WaitOptions {
  /** On the monotonic clock. */
  readonly now: number;
  /** Requests that go before. */
  readonly waiting: number;
}

interface Flow {
  perSecond: number;
  weight: number;
  credit: number;
  updatedAt: number;
}

/** A flow that is not planned yet, as a part of the pace. */
const NEW_FLOW_PART = 0.1;

export class FlowCredits {
  private readonly flows = new Map<string, Flow>();
  private readonly floors = new Map<number, Flow>();
  private shares: Shares = {ranks: [], flows: []};
  private askedPerSecond: ReadonlyMap<string, number> = new Map();
  private plannedAt = -Infinity;
  private pacePerSecond = Infinity;

  constructor(private readonly demand: DemandWindow) {}

  /** Plans the shares anew if they are old. */
  update(now: number, pacePerSecond: number): void {
    if (now - this.plannedAt < PLAN_MS) return;
    this.plannedAt = now;
    this.pacePerSecond = pacePerSecond;
    const demand = this.demand.list(now);
    this.askedPerSecond = new Map(
      demand.map(each => [createKey(each), each.perSecond]),
    );
    this.shares = planShares(demand, pacePerSecond);
    const planned = new Set<string>();
    for (const {rank, customer, weight, perSecond} of this.shares.flows) {
      const key = createKey({rank, customer});
      planned.add(key);
      const flow = this.getFlow({rank, customer}, now);
      refill(flow, now);
      flow.weight = weight;
      flow.perSecond = perSecond;
    }
    for (const key of this.flows.keys()) {
      if (!planned.has(key)) this.flows.delete(key);
    }
    for (const {rank, floorPerSecond} of this.shares.ranks) {
      const floor = this.getFloor(rank, now);
      refill(floor, now);
      floor.perSecond = floorPerSecond;
    }
  }

  getWeight(key: FlowKey, now: number): number {
    return this.getFlow(key, now).weight;
  }

  /** The share of a flow's requests that its pace covers, 0 to 1. */
  getServedShare(key: FlowKey): number {
    const name = createKey(key);
    const asked = this.askedPerSecond.get(name);
    const flow = this.flows.get(name);
    if (asked === undefined || !flow || asked <= flow.perSecond) return 1;
    return flow.perSecond / asked;
  }

  /** The time until a rank gets one more after `waiting` others, in ms. */
  getFloorWaitMs(rank: number, {now, waiting}: WaitOptions): number {
    const floor = this.getFloor(rank, now);
    refill(floor, now);
    return computeWaitMs(floor, waiting);
  }

  /**
   * Requests per second that go before those of a flow: of more urgent ranks, and if
   * it exceeds its share, of its own.
   */
  getPrecedingPerSecond(key: FlowKey): number {
    const isOver = this.getServedShare(key) < 1;
    return this.shares.ranks.reduce((sum, {rank, perSecond}) => {
      const goesBefore = rank < key.rank || (rank === key.rank && isOver);
      return sum + (goesBefore ? perSecond : 0);
    }, 0);
  }

  /** The time until a flow may send one more after `waiting` others, in ms. */
  getWaitMs(key: FlowKey, {now, waiting}: WaitOptions): number {
    const flow = this.getFlow(key, now);
    refill(flow, now);
    return flow.perSecond === Infinity ? 0 : computeWaitMs(flow, waiting);
  }

  /** Whether a rank has got less than its floor. */
  isDue(rank: number, now: number): boolean {
    const floor = this.getFloor(rank, now);
    refill(floor, now);
    return floor.credit >= 1;
  }

  /** Records that a request of a flow goes. */
  take(key: FlowKey, now: number): void {
    for (const flow of [this.getFlow(key, now), this.getFloor(key.rank, now)]) {
      refill(flow, now);
      flow.credit = Math.max(0, flow.credit - 1);
    }
  }

  private getFlow(key: FlowKey, now: number): Flow {
    const name = createKey(key);
    const known = this.flows.get(name);
    if (known) return known;
    const perSecond = this.pacePerSecond * NEW_FLOW_PART;
    const flow = {perSecond, weight: 1, credit: 1, updatedAt: now};
    const weights = this.shares.flows.filter(({rank}) => rank === key.rank);
    if (weights.length > 0) {
      flow.weight = Math.min(...weights.map(({weight}) => weight));
    }
    this.flows.set(name, flow);
    return flow;
  }

  private getFloor(rank: number, now: number): Flow {
    const known = this.floors.get(rank);
    if (known) return known;
    const floor = {perSecond: 0, weight: 1, credit: 0, updatedAt: now};
    this.floors.set(rank, floor);
    return floor;
  }
}

function refill(flow: Flow, now: number): void {
  const ms = now - flow.updatedAt;
  flow.updatedAt = now;
  if (flow.perSecond === Infinity) {
    flow.credit = 1;
    return;
  }
  const limit = Math.max(1, (flow.perSecond * KEEP_MS) / 1_000);
  flow.credit = Math.min(limit, flow.credit + (flow.perSecond * ms) / 1_000);
}

/** The time until a flow has credit for one more after `waiting` others, in ms. */
function computeWaitMs({credit, perSecond}: Flow, waiting: number): number {
  const missing = Math.max(0, 1 + waiting - credit);
  return missing === 0 ? 0 : (missing / perSecond) * 1_000;
}

function createKey({rank, customer}: FlowKey): string {
  return `${rank}\n${customer}`;
}
