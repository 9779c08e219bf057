/** A gateway of a simulated control plane: what it tells the core, and learns. */
import type {
  EndpointLoad,
  FollowReply,
  FollowRequest,
} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import {silentMetrics} from '../../protocol/metrics.ts';
import {succeed} from '../../protocol/outcome.ts';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {createRoute, createTable} from '../forwarding/forwarding_fakes.ts';
import {CoreFollower} from '../gateway/core_follower.ts';
import {GatewayView} from '../gateway/gateway_view.ts';
import {Quarantine} from '../quarantine/quarantine.ts';
import type {HostClock} from '../replication/simulated_host.ts';
import type {SimulatedProcess} from './control_network.ts';
import type {Place} from './control_plane.ts';
import type {PricedProcessor} from './priced_processor.ts';

/** The service of all simulated endpoints. */
const SERVICE = 'app';

/** Endpoints at which a busy gateway has requests open. */
const LOADED_ENDPOINTS = 30;

/** The longest prefill time of the requests at one of them, in ms. */
const MAX_READING_MS = 4_000;

/** A run of a gateway. */
export interface ControlGateway extends SimulatedProcess {
  readonly place: Place;
  readonly view: GatewayView;
  readonly follower: CoreFollower;
  readonly quarantine: Quarantine;
  /** The versions that it applied, with the times. */
  readonly applied: Array<{readonly version: number; readonly atMs: number}>;
  /** The core daemon that its last call went to. */
  followed: string | null;
}

export interface ControlGatewayOptions {
  readonly address: string;
  readonly place: Place;
  readonly clock: HostClock;
  readonly processor: PricedProcessor | undefined;
  readonly logger: Logger;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly seeds: readonly string[];
  /** Whether it has requests open, which its reports tell. */
  readonly hasRequests: boolean;
  /** Calls a core daemon. */
  readonly follow: (
    core: string,
    request: FollowRequest,
    timeoutMs: number,
  ) => Promise<FollowReply>;
}

/** Creates a gateway that does not follow the core yet. */
export function createControlGateway({
  address,
  place,
  clock,
  processor,
  logger,
  random,
  seeds,
  hasRequests,
  follow,
}: ControlGatewayOptions): ControlGateway {
  const applied: ControlGateway['applied'] = [];
  const view = new GatewayView({
    logger,
    decodeTable: document =>
      succeed({...createTable(createRoute()), version: Number(document)}),
    onConfiguration: ({table: {version}}) =>
      applied.push({version, atMs: clock.monotonic()}),
    onSuspects: records => quarantine.recordRelayed(records),
  });
  const quarantine = new Quarantine({
    clock,
    logger,
    metrics: silentMetrics,
    trials: {request: async () => null, finish: async () => {}},
    onObservation: () => follower.reportSoon(),
  });
  const listLoads = (): EndpointLoad[] =>
    view
      .listEndpoints(SERVICE)
      .slice(0, LOADED_ENDPOINTS)
      .map(({id}) => ({
        id,
        open: 1 + Math.floor(random() * 4),
        readingMs: Math.round(random() * MAX_READING_MS),
      }));
  const follower = new CoreFollower({
    view,
    clock,
    logger,
    run: `${address}/${clock.monotonic()}`,
    listSeeds: () => seeds,
    ...place,
    random,
    createReport: () =>
      createGatewayReport(
        {address, ...place, open: view.routes !== null},
        hasRequests ? {loads: listLoads()} : {},
      ),
    listObserved: revision => quarantine.listObservedAfter(revision),
    onEpoch: () => quarantine.reportAll(),
    call: (core, request, timeoutMs) => {
      gateway.followed = core;
      return follow(core, request, timeoutMs);
    },
  });
  const gateway: ControlGateway = {
    address,
    region: place.region,
    place,
    clock,
    isAlive: true,
    lagMs: 0,
    processor,
    view,
    follower,
    quarantine,
    applied,
    followed: null,
  };
  return gateway;
}
