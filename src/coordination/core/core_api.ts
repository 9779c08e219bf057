/** The calls of endpoints, operators and callers to a core daemon. */
import type {
  Configuration,
  ReadReply,
  ServiceRollout,
} from '../../protocol/core_service.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {RefusalLog} from '../../protocol/refusal_log.ts';
import {Departures} from '../confirmation/departures.ts';
import {
  Orders,
  type ChangeOutcome,
  type OrdersOptions,
} from '../orders/orders.ts';
import type {CoreState} from './core_state.ts';
import {createGoneReport} from './create_gone_report.ts';
import {searchConfiguration} from './search_configuration.ts';

/** The part of a refused id that is logged. */
const MAX_LOGGED_ID_CHARACTERS = 64;

export interface CoreApiOptions extends Omit<OrdersOptions, 'changes'> {
  readonly state: CoreState;
  /** Reads the committed configuration from a core daemon. */
  readonly read: (address: string, timeoutMs: number) => Promise<ReadReply>;
  /** The leader as this daemon knows it; `null` when it knows none. */
  readonly getLeader: () => string | null;
}

export class CoreApi {
  private readonly refusals: RefusalLog;
  private readonly departures: Departures;
  /** Places the orders of operators. */
  readonly orders: Orders;

  constructor(private readonly options: CoreApiOptions) {
    this.refusals = new RefusalLog(options);
    this.orders = new Orders({...options, changes: options.state.changes});
    this.departures = new Departures({
      ...options,
      find: id => options.state.endpoints.find(id),
    });
  }

  /**
   * Applies a document unless a newer version is in force.
   *
   * @param signal Aborts when the caller has left.
   */
  replaceDocument(
    version: number,
    document: string,
    signal?: AbortSignal,
  ): Promise<ChangeOutcome> {
    return this.orders.place({type: 'replace', version, document}, signal);
  }

  /** Begins a roll-out; accepts a repeated request for the same one. */
  beginRollout(
    request: {service: string; target: string; durationMs: number},
    signal?: AbortSignal,
  ): Promise<ChangeOutcome> {
    const atMs = this.options.clock.now();
    return this.orders.place({type: 'begin_rollout', ...request, atMs}, signal);
  }

  /**
   * Finds the last roll-out of a service; `undefined` when the configuration
   * cannot be read.
   */
  async findRollout(
    service: string,
  ): Promise<ServiceRollout | null | undefined> {
    const configuration = await this.readConfiguration();
    if (!configuration) return undefined;
    const {rollouts} = configuration;
    return rollouts.find(rollout => rollout.service === service) ?? null;
  }

  /**
   * Reads the committed configuration, confirmed by the leader's lease; `null`
   * when no daemon of the core confirms it.
   */
  async readConfiguration(): Promise<Configuration | null> {
    const {state, clock, getLeader, read, logger} = this.options;
    const self = state.self.address;
    const leader = getLeader();
    const {configuration, asked, failures} = await searchConfiguration({
      clock,
      first: leader ?? self,
      others: [self, ...state.members.listAddresses()],
      read,
    });
    if (configuration === null) {
      logger.warn('Could not read the committed configuration.', {
        leader,
        asked,
        failures,
      });
    } else if (failures.length > 0) {
      logger.info('Reads the configuration although a daemon is silent.', {
        leader,
        failures,
      });
    }
    return configuration;
  }

  /**
   * Records a heartbeat; false if it tells of a departure that could not be
   * passed on.
   */
  async reportEndpoint(report: EndpointReport): Promise<boolean> {
    const {state} = this.options;
    const outcome = state.recordReport(report);
    if (report.state === 'ready') return true;
    return this.departures.acknowledge(report, outcome);
  }

  /** Logs that a heartbeat was refused. */
  refuseReport(id: string, reason: string): void {
    const fields = {id: id.slice(0, MAX_LOGGED_ID_CHARACTERS), reason};
    this.refusals.record('Refuses a heartbeat.', `${id} ${reason}`, fields);
  }

  /**
   * Records that an endpoint is gone; false when the start that ends is unknown
   * here, since that could not be passed on.
   *
   * @param startedAtMs The start that ends; `null` if the endpoint does not tell.
   */
  async reportGone(
    id: string,
    startedAtMs: number | null = null,
  ): Promise<boolean> {
    const {state} = this.options;
    const report = createGoneReport(state.endpoints, {id, startedAtMs});
    if (!report) return false;
    const outcome = state.recordReport(report);
    return this.departures.acknowledge(report, outcome);
  }
}
