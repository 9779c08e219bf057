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

/** How fast the usual demand is learned while there is no room. */
const PRESSED_SPEED = 0.1;

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
  /** Time that runs slower while the service has no room, in ms. */
  private usualTime = 0;
  private updatedAt = -Infinity;

  /** Records a request that was received. */
  record(
    {rank, customer}: {rank: number; customer: string},
    {now, isPressed}: {now: number; isPressed: boolean},
  ): void {
    const speed = isPressed ? PRESSED_SPEED : 1;
    if (this.updatedAt > -Infinity) {
      this.usualTime += (now - this.updatedAt) * speed;
    }
    this.updatedAt = now;
    const flow = this.getFlow(rank, customer, now);
    flow.asked.add(1, now);
    flow.usual.add(speed, this.usualTime);
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
      usualPerSecond: usual.getPerSecond(this.usualTime),
    }));
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
