/** Fakes for tests of forwarding: a gateway without a network. */
import type {FollowReply, GatewayReport} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {silentLogger, type Logger} from '../../protocol/logger.ts';
import {silentMetrics, type Metrics} from '../../protocol/metrics.ts';
import {succeed} from '../../protocol/outcome.ts';
import type {
  Engine,
  Route,
  RouteCustomer,
  RouteTable,
} from '../../protocol/route_table.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createGatewayReport} from '../core/gateway_report_fake.ts';
import {GatewayView} from '../gateway/gateway_view.ts';
import {EndpointSpeeds} from '../endpoint_speed/endpoint_speeds.ts';
import {createAdmissionHooks} from '../fair_admission/create_admission_hooks.ts';
import type {AttemptOptions, AttemptOutcome, Call, CallFacts} from './call.ts';
import {createCall} from './call_fakes.ts';
import {EndpointHealth} from './endpoint_health.ts';
import {EndpointRules, type EndpointRule} from '../selection/endpoint_rules.ts';
import {EndpointLimits} from './endpoint_limits.ts';
import {EndpointNotices} from './endpoint_notices.ts';
import {Forwarder} from './forwarder.ts';
import {PrefillBacklog} from './prefill_backlog.ts';
import {listRunningStarts} from '../quarantine/endpoint_ends.ts';
import {Quarantine} from '../quarantine/quarantine.ts';
import {CallRelay, type SendRelayed} from '../reach/call_relay.ts';
import {HomeRegions} from '../homes/home_regions.ts';
import {Reachability} from '../reach/reachability.ts';
import {RecentGateways} from './recent_gateways.ts';
import {RecordingSink} from './recording_sink_fake.ts';
import type {TrialClient} from '../quarantine/trial_client.ts';
import {VersionEvidenceCounter} from './version_evidence.ts';

export function createRoute(change: Partial<Route> = {}): Route {
  return {
    name: 'r1',
    host: 'desk.example',
    pathPrefix: '/',
    repeatability: 'idempotent',
    resumable: false,
    maxAttempts: 2,
    timeoutMs: 3_000,
    objectiveMs: 400,
    gapObjectiveMs: 800,
    priority: 0,
    isPublic: true,
    models: [],
    targets: [{service: 'app', weight: 1}],
    ...change,
  };
}

export interface CreateTableOptions {
  /** The engine of the service; none by default. */
  readonly engine?: Engine | null;
  /** `null`, the default, if requests carry no keys. */
  readonly customers?: readonly RouteCustomer[] | null;
}

export function createTable(
  route: Route,
  {engine = null, customers = null}: CreateTableOptions = {},
): RouteTable {
  return {
    version: 1,
    routes: [route],
    services: [{name: 'app', maxConnections: 100, engine}],
    customers: customers && [...customers],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export function createEndpoint(
  id: string,
  change: Partial<EndpointEntry> = {},
): EndpointEntry {
  return {
    id,
    service: 'app',
    address: `${id}:80`,
    dataCentre: 'a',
    version: 'v1',
    slots: 4,
    state: 'ready',
    startedAtMs: 1,
    sequence: 1,
    warmupMs: 0,
    silent: false,
    ...change,
  };
}

/** Creates the reply of a core daemon that has no data. */
export function createFollowReply(
  change: Partial<FollowReply> = {},
): FollowReply {
  return {
    epoch: 'e',
    endpointRevision: 1,
    complete: true,
    settled: false,
    endpoints: [],
    configuration: null,
    cores: [],
    loads: [],
    gatewayRevision: 1,
    openGateways: null,
    fresh: true,
    ...change,
  };
}

/** A request to a fake gateway. */
export interface FakeRequest extends Partial<CallFacts> {
  /** Empty by default. */
  readonly body?: string;
}

/** Handles one attempt at a fake endpoint. */
export type Behaviour = (
  call: Call,
  options: AttemptOptions,
  clock: SimulatedClock,
) => Promise<AttemptOutcome>;

export interface FakeGatewayOptions {
  readonly route?: Route;
  /** The engine of the service; none by default. */
  readonly engine?: Engine;
  /** The customers that own keys; requests need none by default. */
  readonly customers?: readonly RouteCustomer[];
  readonly endpoints: readonly EndpointEntry[];
  readonly behave: Behaviour;
  /** Returns a number from 0 up to 1; always 0.5 by default. */
  readonly random?: () => number;
  /** Its own by default; several gateways of a test share one. */
  readonly clock?: SimulatedClock;
  /** Its address for callers; `g` by default. */
  readonly address?: string;
  /** Permits all trials by default. */
  readonly trials?: TrialClient;
  readonly onObservation?: () => void;
  /** Whether a connection to an endpoint can be opened; always by default. */
  readonly probe?: (address: string, timeoutMs: number) => Promise<boolean>;
  /** Sends a request to another gateway; none accepts one by default. */
  readonly sendRelayed?: SendRelayed;
  /** The region of a data centre; that of the gateway by default. */
  readonly findRegion?: (dataCentre: string) => string | null;
  /** Confirms the view by default. */
  readonly ensureView?: () => Promise<boolean>;
  /** Receives what requests log and count; discarded by default. */
  readonly logger?: Logger;
  readonly metrics?: Metrics;
  /** A rule on endpoints beside their limits; none by default. */
  readonly rule?: EndpointRule;
  /** Retries per request of a service; 0.9 by default. */
  readonly retryRatio?: number;
  /** Retries on top of that in a window of 10 s; 50 by default. */
  readonly retryExtra?: number;
  /** Whether savings of cached prompt prefixes are weighed; false by default. */
  readonly weighsCachedPrefixes?: boolean;
  /** Whether fair admission is on; off by default. */
  readonly hasFairAdmission?: boolean;
}

/** A gateway with fake endpoints. */
export class FakeGateway {
  readonly clock: SimulatedClock;
  /** The attempts that were made, in order. */
  readonly attempts: AttemptOptions[] = [];
  readonly forwarder: Forwarder;
  readonly view: GatewayView;
  readonly notices: EndpointNotices;
  readonly limits: EndpointLimits;
  readonly quarantine: Quarantine;
  private readonly health: EndpointHealth;
  private readonly address: string;
  private calls = 0;

  constructor({
    route = createRoute(),
    engine,
    customers,
    endpoints,
    behave,
    random = () => 0.5,
    clock = new SimulatedClock(),
    address = 'g',
    trials = {
      request: async () => ({isGranted: true, suspects: []}),
      finish: async () => {},
    },
    onObservation,
    ensureView = async () => true,
    findRegion = () => 'r',
    probe = async () => true,
    sendRelayed = async () => ({type: 'not-sent', reason: 'ECONNREFUSED'}),
    rule = {},
    retryRatio = 0.9,
    retryExtra = 50,
    hasFairAdmission = false,
    logger = silentLogger,
    metrics = silentMetrics,
    weighsCachedPrefixes = false,
  }: FakeGatewayOptions) {
    this.clock = clock;
    this.address = address;
    this.health = new EndpointHealth(clock);
    this.notices = new EndpointNotices({
      clock: this.clock,
      logger: silentLogger,
    });
    const table = createTable(route, {
      engine: engine ?? null,
      customers: customers ?? null,
    });
    this.view = new GatewayView({
      logger: silentLogger,
      decodeTable: document =>
        succeed(document === '' ? table : JSON.parse(document)),
      onLimits: limits => this.limits.recordRelayed(limits),
      onSuspects: records => this.quarantine.recordRelayed(records),
    });
    this.quarantine = new Quarantine({
      clock,
      logger: silentLogger,
      metrics: silentMetrics,
      trials,
      listStarts: service =>
        listRunningStarts(this.view.listEndpoints(service), service),
      ...(onObservation && {onObservation}),
    });
    const gateways = new RecentGateways({
      clock,
      listGateways: () => this.view.openGateways,
    });
    this.limits = new EndpointLimits({
      clock: this.clock,
      logger: silentLogger,
      metrics: silentMetrics,
      random,
      address,
      gateways,
    });
    this.view.apply(
      createFollowReply({
        endpoints,
        settled: true,
        configuration: {revision: 1, version: 1, document: '', rollouts: []},
        openGateways: [{address, region: 'r', dataCentre: 'a', open: true}],
      }),
    );
    const homes = new HomeRegions({
      logger,
      metrics,
      view: this.view,
      findRegion,
      listRegions: () => [],
    });
    const reach = new Reachability({
      clock: this.clock,
      logger: silentLogger,
      metrics: silentMetrics,
      // Probes must not change what else a seed draws.
      random: () => 0.5,
      listEndpoints: service => this.view.listEndpoints(service),
      probe,
      onFound: service =>
        this.health.dropFailures(this.view.listEndpoints(service)),
    });
    const rules = new EndpointRules([this.limits, homes, rule]);
    const prefillBacklog = new PrefillBacklog(this.clock);
    const hooks = createAdmissionHooks({
      isOn: hasFairAdmission,
      view: this.view,
      health: this.health,
      notices: this.notices,
      rules,
      prefillBacklog,
      clock,
      logger,
      metrics,
      random,
      isViewFresh: () => true,
      send: (call, options) => {
        this.attempts.push(options);
        return behave(call, options, this.clock);
      },
    });
    this.forwarder = new Forwarder({
      view: this.view,
      ensureView,
      notices: this.notices,
      limits: this.limits,
      rules,
      speeds: new EndpointSpeeds(clock),
      weighsCachedPrefixes,
      quarantine: this.quarantine,
      gateways,
      health: this.health,
      reach,
      relay: new CallRelay({
        clock: this.clock,
        logger,
        metrics,
        random,
        reach,
        listGateways: () => this.view.openGateways,
        findHomes: run => homes.find(run),
        address,
        region: 'r',
        dataCentre: 'a',
        send: sendRelayed,
      }),
      evidence: new VersionEvidenceCounter(),
      prefillBacklog,
      clock: this.clock,
      logger,
      metrics,
      random,
      ...hooks,
      region: 'r',
      dataCentre: 'a',
      findRegion,
      retryRatio,
      retryExtra,
      retryWindowMs: 10_000,
    });
  }

  /** Creates its report to the core. */
  createReport(): GatewayReport {
    return createGatewayReport(
      {address: this.address},
      {
        loads: this.health.listLoads(() => 0),
        leaving: this.notices.listLeaving(),
        limits: this.limits.listObserved(),
        suspects: this.quarantine.listObserved(),
      },
    );
  }

  /** Receives a higher version of the route table. */
  receiveTable(table: RouteTable): void {
    const document = JSON.stringify(table);
    const {version} = table;
    this.view.apply(
      createFollowReply({
        complete: false,
        configuration: {revision: version, version, document, rollouts: []},
      }),
    );
  }

  /** Receives a core daemon's report of an endpoint. */
  receiveReport(endpoint: EndpointEntry): void {
    this.view.apply(
      createFollowReply({complete: false, endpoints: [endpoint]}),
    );
  }

  /** Sends a request and advances the clock until it is answered. */
  async request(
    request: FakeRequest = {},
    signal = new AbortController().signal,
  ): Promise<RecordingSink> {
    const {sink, done} = this.start(request, signal);
    let isDone = false;
    const finish = () => (isDone = true);
    done.then(finish, finish);
    while (!isDone) await this.clock.advance(10);
    await done;
    return sink;
  }

  /** Sends a request without advancing the clock. */
  start(
    {body = '', ...facts}: FakeRequest = {},
    signal = new AbortController().signal,
  ): {readonly sink: RecordingSink; readonly done: Promise<void>} {
    const sink = new RecordingSink();
    const call = createCall(`c${this.calls++}`, {
      facts,
      body: Buffer.from(body),
      signal,
      receivedAt: this.clock.monotonic(),
    });
    return {sink, done: this.forwarder.forward(call, sink)};
  }
}
