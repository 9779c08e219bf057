/**
 * Orders endpoints to load and unload versions while this daemon leads the
 * control group.
 *
 * Every order carries a fencing number that was committed to the log. Some
 * endpoints do not check it, so a new leader sends nothing until orders of its
 * predecessor can no longer be in transit. At most one order is outstanding
 * per endpoint; its result is detected from the endpoint's announcements.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {ControlView} from '../../protocol/control.ts';
import {formatVersion} from '../../protocol/declaration.ts';
import {createIdentifier} from '../../protocol/identifiers.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Order, OrderReply} from '../../protocol/order.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';
import {isWithdrawn} from '../routing/eligible_versions.ts';
import type {DemandTable} from './demand_table.ts';
import {
  planPlacement,
  type PlacementEndpoint,
  type PlannedOrder,
} from './plan_placement.ts';
import {startPeriodicTask} from '../periodic_task.ts';

/** The interval between planning steps. */
const STEP_INTERVAL_MS = 2_000;

/** How long an order may be in transit to its endpoint. */
export const ORDER_TIMEOUT_MS = 3_000;

/** The time after which an order without an announced result is abandoned. */
const RESULT_TIMEOUT_MS = 180_000;

/** How long a new leader waits for its predecessor's orders to expire. */
const FIRST_ORDER_DELAY_MS = ORDER_TIMEOUT_MS + 3_000;

export interface PlacementControllerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly demand: DemandTable;
  /** Whether this daemon leads the control group now. */
  readonly isLeader: () => boolean;
  /** When this daemon became the leader, on the monotonic clock. */
  readonly getLeaderSince: () => number;
  readonly getView: () => ControlView;
  readonly listEndpoints: () => readonly Endpoint[];
  /** Returns a new fencing number, or `null` if none could be committed. */
  readonly takeFencing: () => Promise<number | null>;
  /** Sends an order; if it rejects, the outcome is unknown. */
  readonly sendOrder: (
    address: string,
    order: Order,
    timeoutMs: number,
  ) => Promise<OrderReply>;
}

interface Outstanding {
  readonly order: PlannedOrder;
  readonly sentAt: number;
}

/** Plans and sends orders periodically until disposed. */
export class PlacementController implements AsyncDisposable {
  private readonly outstanding = new Map<string, Outstanding>();
  private readonly regrets = new Map<string, number>();
  private task: AsyncDisposable | null = null;
  private fencing: number | null = null;
  private fencingLeaderSince = -1;
  private steppedAt = 0;

  constructor(private readonly options: PlacementControllerOptions) {}

  start(): void {
    const {clock, logger} = this.options;
    this.task = startPeriodicTask({
      clock,
      intervalMs: STEP_INTERVAL_MS,
      step: () => this.step(),
      onError: ({message: reason}) =>
        logger.warn('Fails to plan the placement: retries next step.', {
          reason,
        }),
    });
  }

  /** Plans every pool once. */
  async step(): Promise<void> {
    const {clock, isLeader, demand, getLeaderSince, getView} = this.options;
    if (!isLeader()) {
      this.reset();
      demand.clear();
      return;
    }
    const now = clock.monotonic();
    if (now - getLeaderSince() < FIRST_ORDER_DELAY_MS) return;
    const fencing = await this.getFencing();
    if (fencing === null) return;
    const elapsedS = Math.min(now - this.steppedAt, 2 * STEP_INTERVAL_MS) / 1e3;
    this.steppedAt = now;
    this.checkResults(now);
    const view = getView();
    for (const pool of view.declaration?.pools ?? []) {
      const orders = this.planPool(view, pool.name, elapsedS);
      for (const order of orders) await this.sendOne(order, fencing);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.task?.[Symbol.asyncDispose]();
  }

  private reset(): void {
    this.outstanding.clear();
    this.regrets.clear();
    this.fencing = null;
  }

  /** Returns the fencing number of this leadership, taken once. */
  private async getFencing(): Promise<number | null> {
    const since = this.options.getLeaderSince();
    if (this.fencing !== null && this.fencingLeaderSince === since) {
      return this.fencing;
    }
    this.fencing = await this.options.takeFencing();
    this.fencingLeaderSince = since;
    return this.fencing;
  }

  /** Removes orders that are done, overdue, or whose endpoint is gone. */
  private checkResults(now: number): void {
    const endpoints = new Map(
      this.options.listEndpoints().map(each => [each.name, each]),
    );
    for (const [name, {order, sentAt}] of this.outstanding) {
      const loaded = endpoints.get(name)?.versions.includes(order.version);
      const done = loaded === (order.action === 'load');
      const late = now - sentAt >= RESULT_TIMEOUT_MS;
      if (late) {
        this.options.logger.warn('Abandons an order: no result announced.', {
          endpoint: name,
          version: order.version,
          action: order.action,
        });
      }
      if (done || late || !endpoints.has(name)) this.outstanding.delete(name);
    }
  }

  private planPool(
    view: ControlView,
    pool: string,
    elapsedS: number,
  ): readonly PlannedOrder[] {
    const declared = view.declaration?.versions ?? [];
    const endpoints = this.options
      .listEndpoints()
      .filter(each => each.pool === pool && !each.leaving)
      .map(each => this.describeEndpoint(each));
    const versions = declared
      .filter(each => each.pool === pool)
      .map(version => ({
        name: formatVersion(version),
        usable: !isWithdrawn(view, version),
        demand: this.options.demand.getDemand(formatVersion(version)),
      }));
    const {load_s: loadS, concurrent_loads: concurrentLoads} = view.declaration
      ?.placement ?? {load_s: 30, concurrent_loads: 1};
    const step = planPlacement({
      endpoints,
      versions,
      regret: this.regrets.get(pool) ?? 0,
      elapsedS,
      loadS,
      concurrentLoads,
    });
    this.regrets.set(pool, step.regret);
    return step.orders;
  }

  private describeEndpoint(endpoint: Endpoint): PlacementEndpoint {
    const {name, dataCentre, versions, versionSlots, slots} = endpoint;
    const busy = this.outstanding.has(name);
    return {name, dataCentre, versions, versionSlots, slots, busy};
  }

  private async sendOne(order: PlannedOrder, fencing: number): Promise<void> {
    const {logger, clock, isLeader, listEndpoints, sendOrder} = this.options;
    const endpoint = listEndpoints().find(each => each.name === order.endpoint);
    // Checks again right before sending, as the lease may have expired.
    if (!endpoint || !isLeader()) return;
    logger.info('Sends a placement order.', {...order, fencing});
    this.outstanding.set(order.endpoint, {order, sentAt: clock.monotonic()});
    const {action, version, replaces} = order;
    const id = createIdentifier('ord');
    try {
      const reply = await sendOrder(
        endpoint.address,
        {id, action, version, replaces, fencing},
        ORDER_TIMEOUT_MS,
      );
      if (reply.type === 'accepted') return;
      logger.warn('Drops an order: refused by the endpoint.', {
        ...order,
        reply: reply.type,
        detail: reply.message,
      });
      this.outstanding.delete(order.endpoint);
    } catch (error) {
      // The order may have arrived; announcements will show its result.
      const reason = (error as Error).message;
      logger.warn('Awaits the announced result: order delivery unknown.', {
        ...order,
        detail: reason,
      });
    }
  }
}
