/** A gateway of a simulated site with cold endpoints. */
import type {Clock} from '../../protocol/clock.ts';
import type {FollowReply, FollowRequest} from '../../protocol/core_service.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {succeed} from '../../protocol/outcome.ts';
import type {ColdStart} from '../../protocol/route_table.ts';
import {createRoute, createTable} from '../forwarding/forwarding_fakes.ts';
import {
  INITIAL_POSITION,
  readPosition,
  type FollowPosition,
} from '../gateway/follow_position.ts';
import {GatewayView} from '../gateway/gateway_view.ts';
import {
  createPlace,
  findRegion,
  type WaitingCaller,
} from './cold_site_types.ts';
import type {ColdBounds} from './cold_start_rule.ts';
import {createColdStart, type ColdStartLimits} from './create_cold_start.ts';

const UPDATE_MS = 1_000;

/** What a data centre and a region further away cost, and a random part. */
const DATA_CENTRE_COST = 0.35;
const REGION_COST = 0.9;
const RANDOM_COST = 1;

export interface ColdSiteGatewayOptions {
  readonly clock: Clock;
  readonly index: number;
  readonly coldStart: ColdStart;
  readonly bounds: ColdBounds;
  /** When it first follows the core. */
  readonly followAt: number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export class ColdSiteGateway {
  readonly index: number;
  readonly self: Gateway;
  readonly limits: ColdStartLimits;
  isDown = false;
  frozenUntil = -Infinity;
  cutUntil = -Infinity;
  followAt: number;
  /** When it made the last call that the core answered. */
  contactAt = -Infinity;
  /** How often it moved to another core daemon. */
  moves = 0;
  private readonly view: GatewayView;
  private position: FollowPosition = INITIAL_POSITION;
  private waiting: WaitingCaller[] = [];
  private updatedAt = -Infinity;

  constructor(private readonly options: ColdSiteGatewayOptions) {
    const {clock, index, coldStart, bounds} = options;
    const {dataCentre} = createPlace(index);
    this.index = index;
    this.followAt = options.followAt;
    this.self = {
      address: `g${index}`,
      region: findRegion(dataCentre),
      dataCentre,
      open: true,
    };
    const table = createTable(createRoute());
    this.view = new GatewayView({
      logger: silentLogger,
      decodeTable: () =>
        succeed({
          ...table,
          services: table.services.map(each => ({...each, coldStart})),
        }),
      onEndpoint: entry => this.limits.record(entry),
    });
    this.limits = createColdStart({
      clock,
      logger: silentLogger,
      metrics: silentMetrics,
      random: options.random,
      bounds: {cold_excess: bounds.excess, cold_extra: bounds.extra},
      address: this.self.address,
      listGateways: () => this.view.openGateways,
      findService: name => this.view.routes?.findService(name) ?? null,
      findRegion,
    });
  }

  createRequest(): FollowRequest {
    const {view} = this;
    return {
      report: {
        gateway: {
          ...this.self,
          open: view.routes !== null,
          ...this.limits.describeDemand(),
        },
        loads: [],
        evidence: [],
        paces: [],
        leaving: [],
        limits: [],
        suspects: [],
      },
      ...this.position,
      configurationRevision: view.revision,
      holdMs: 0,
    };
  }

  apply(reply: FollowReply, sentAt: number): void {
    this.view.apply(reply);
    if (reply.fresh) {
      this.limits.recordContact(sentAt);
      this.contactAt = Math.max(this.contactAt, sentAt);
    }
    this.position = readPosition(reply);
  }

  /** Lists the endpoints that it would choose, the best one first. */
  listCandidates(): EndpointEntry[] {
    const {random} = this.options;
    return this.view
      .listEndpoints('app')
      .filter(({silent}) => !silent)
      .map(entry => ({entry, cost: this.cost(entry) + random() * RANDOM_COST}))
      .sort((a, b) => a.cost - b.cost)
      .map(({entry}) => entry);
  }

  isKnownCold(entry: EndpointEntry): boolean {
    return this.limits.getColdMs(entry) > 0;
  }

  /** Lets a caller wait while the process is frozen. */
  wait(caller: WaitingCaller): void {
    this.waiting.push(caller);
  }

  takeWaiting(): WaitingCaller[] {
    const {waiting} = this;
    if (waiting.length > 0) this.waiting = [];
    return waiting;
  }

  update(): void {
    const now = this.options.clock.monotonic();
    if (now - this.updatedAt < UPDATE_MS) return;
    this.updatedAt = now;
    this.limits.update();
    this.limits.pruneEnded(id => this.view.findEndpoint(id));
  }

  private cost({dataCentre}: EndpointEntry): number {
    if (dataCentre === this.self.dataCentre) return 0;
    const isInRegion = findRegion(dataCentre) === this.self.region;
    return isInRegion ? DATA_CENTRE_COST : REGION_COST;
  }
}
