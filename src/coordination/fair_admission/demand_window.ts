/**
 * The demand at one service by rank and customer, as seen by this gateway: over
 * the last seconds, and as usual.
 *
 * The usual demand is the weight of a customer. It is learned while the service
 * has room and hardly changes while it has none, so that a customer that sends
 * more than usual, or repeats what was refused, does not raise its weight.
 */
import {DecayingRate} from './decaying_rate.ts';

/** The window of the present demand. */
const WINDOW_MS = 2_000;

/** The window of the usual demand. */
const USUAL_WINDOW_MS = 60_000;

/**
 * How fast the usual demand is learned while the service is not certain to have room.
 * A surge fills it up before gateways notice that it is full.
 */
const BUSY_SPEED = 0.1;

/**
 * The demand over the usual one from which more is not learned at once: a surge that
 * lasts for minutes becomes usual, one of seconds does not.
 */
const SURGE = 2;

/** The usual demand of a customer that is new, relative to the mean. */
const NEW_PART = 0.1;

/** The same while no customer is known. */
const MIN_USUAL_PER_SECOND = 0.1;

/** Pairs of rank and customer that are kept; the smallest give way. */
const MAX_FLOWS = 256;

/** What one customer asks for within one rank. */
export interface FlowDemand {
  readonly rank: number;
  readonly customer: string;
  /** Requests per second that were received lately. */
  readonly perSecond: number;
  /** Requests per second as usual. */
  readonly usualPerSecond: number;
}

interface Flow {
  readonly rank: number;
  readonly customer: string;
  readonly asked: DecayingRate;
  readonly usual: DecayingRate;
}

export class DemandWindow {
  private readonly flows = new Map<string, Flow>();
  private readonly all = new DecayingRate(WINDOW_MS);
  private readonly allUsual = new DecayingRate(USUAL_WINDOW_MS);
  /** Time that runs slower while the service may have no room, in ms. */
  private usualTime = 0;
  private updatedAt = -Infinity;

  /** Records a request that was received. */
  record(
    {rank, customer}: {rank: number; customer: string},
    {now, hasRoom}: {now: number; hasRoom: boolean},
  ): void {
    const speed = hasRoom ? 1 : BUSY_SPEED;
    if (this.updatedAt > -Infinity) {
      this.usualTime += (now - this.updatedAt) * speed;
    }
    this.updatedAt = now;
    const flow = this.getFlow(rank, customer, now);
    flow.asked.add(1, now);
    const learned = speed * this.computeSurgeSpeed(flow, {now, hasRoom});
    flow.usual.add(learned, this.usualTime);
    this.allUsual.add(learned, this.usualTime);
    this.all.add(1, now);
  }

  /** Requests per second that were received lately. */
  getPerSecond(now: number): number {
    return this.all.getPerSecond(now);
  }

  list(now: number): FlowDemand[] {
    return [...this.flows.values()].map(({rank, customer, asked, usual}) => ({
      rank,
      customer,
      perSecond: asked.getPerSecond(now),
      usualPerSecond: this.getUsualPerSecond(usual),
    }));
  }

  private getUsualPerSecond(usual: DecayingRate): number {
    // The window is not full in the first minute.
    const filled = 1 - Math.exp(-this.usualTime / USUAL_WINDOW_MS);
    return filled > 0 ? usual.getPerSecond(this.usualTime) / filled : 0;
  }

  private computeSurgeSpeed(
    {asked, usual}: Flow,
    {now, hasRoom}: {now: number; hasRoom: boolean},
  ): number {
    // What is seen first with room is usual; without room, nobody's demand is.
    if (hasRoom && this.usualTime < WINDOW_MS) return 1;
    const mean = this.getUsualPerSecond(this.allUsual) / this.flows.size;
    const known = Math.max(
      this.getUsualPerSecond(usual),
      NEW_PART * mean,
      MIN_USUAL_PER_SECOND,
    );
    return Math.min(1, (SURGE * known) / asked.getPerSecond(now));
  }

  private getFlow(rank: number, customer: string, now: number): Flow {
    const key = `${rank}\n${customer}`;
    const known = this.flows.get(key);
    if (known) return known;
    if (this.flows.size >= MAX_FLOWS) this.dropSmallest(now);
    const flow = {
      rank,
      customer,
      asked: new DecayingRate(WINDOW_MS),
      usual: new DecayingRate(USUAL_WINDOW_MS),
    };
    this.flows.set(key, flow);
    return flow;
  }

  private dropSmallest(now: number): void {
    let smallest: string | null = null;
    let lowest = Infinity;
    for (const [key, {asked}] of this.flows) {
      const perSecond = asked.getPerSecond(now);
      if (perSecond >= lowest) continue;
      smallest = key;
      lowest = perSecond;
    }
    if (smallest !== null) this.flows.delete(smallest);
  }
}
