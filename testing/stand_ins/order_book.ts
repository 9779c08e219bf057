/** The orders that a stand-in engine took, and the versions they loaded. */
import type {Order, OrderReply} from '../../src/protocol/order.ts';

/** An order as the engine took it. */
export interface TakenOrder extends Order {
  readonly atMs: number;
  readonly reply: OrderReply['type'];
}

export interface OrderBookOptions {
  readonly versions: readonly string[];
  readonly versionSlots: number;
  readonly loadMs: number;
  readonly checksFencing: boolean;
}

/** Loads and unloads versions, one after another. */
export class OrderBook {
  readonly versions: Set<string>;
  readonly taken: TakenOrder[] = [];
  private highest = 0;

  constructor(private readonly options: OrderBookOptions) {
    this.versions = new Set(options.versions);
  }

  /** Takes an order or refuses it. */
  take(order: Order): OrderReply {
    const reply = this.judge(order);
    this.taken.push({...order, atMs: Date.now(), reply: reply.type});
    if (reply.type !== 'accepted') return reply;
    if (order.replaces !== undefined) this.versions.delete(order.replaces);
    if (order.action === 'unload') this.versions.delete(order.version);
    else {
      const load = () => this.versions.add(order.version);
      setTimeout(load, this.options.loadMs);
    }
    return reply;
  }

  private judge(order: Order): OrderReply {
    const {versionSlots, checksFencing} = this.options;
    if (checksFencing && order.fencing < this.highest) {
      return {type: 'stale-fencing', message: `expected ${this.highest}`};
    }
    this.highest = Math.max(this.highest, order.fencing);
    const makesRoom =
      order.replaces !== undefined && this.versions.has(order.replaces);
    const full = this.versions.size - (makesRoom ? 1 : 0) >= versionSlots;
    if (order.action === 'load' && full) {
      return {type: 'refused', message: 'no room for another version'};
    }
    return {type: 'accepted', message: ''};
  }
}
