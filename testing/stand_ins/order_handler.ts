/** Handles load and unload orders in a stand-in engine. */
import type {Order, OrderReply} from '../../src/protocol/order.ts';

/** An order and the engine's reply to it. */
export interface HandledOrder extends Order {
  readonly atMs: number;
  readonly reply: OrderReply['type'];
}

export interface OrderHandlerOptions {
  readonly versions: readonly string[];
  readonly versionSlots: number;
  readonly loadMs: number;
  readonly checksFencing: boolean;
}

/** Loads and unloads versions as ordered. */
export class OrderHandler {
  readonly versions: Set<string>;
  readonly handledOrders: HandledOrder[] = [];
  private highestFencing = 0;

  constructor(private readonly options: OrderHandlerOptions) {
    this.versions = new Set(options.versions);
  }

  /** Accepts or refuses an order and records the reply. */
  handle(order: Order): OrderReply {
    const reply = this.decide(order);
    this.handledOrders.push({...order, atMs: Date.now(), reply: reply.type});
    if (reply.type !== 'accepted') return reply;
    if (order.replaces !== undefined) this.versions.delete(order.replaces);
    if (order.action === 'unload') this.versions.delete(order.version);
    else {
      const load = () => this.versions.add(order.version);
      setTimeout(load, this.options.loadMs);
    }
    return reply;
  }

  private decide(order: Order): OrderReply {
    const {versionSlots, checksFencing} = this.options;
    if (checksFencing && order.fencing < this.highestFencing) {
      return {
        type: 'stale-fencing',
        message: `expected ${this.highestFencing}`,
      };
    }
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    const makesRoom =
      order.replaces !== undefined && this.versions.has(order.replaces);
    const full = this.versions.size - (makesRoom ? 1 : 0) >= versionSlots;
    if (order.action === 'load' && full) {
      return {type: 'refused', message: 'no room for another version'};
    }
    return {type: 'accepted', message: ''};
  }
}
