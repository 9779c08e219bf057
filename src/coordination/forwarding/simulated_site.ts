/**
 * Gateways, core daemons and endpoints in one process, on a simulated clock.
 *
 * Meant for tests of what gateways keep together: each one follows a core
 * daemon, and the endpoints record which gateway sent them what and when.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {
  Configuration,
  GatewayReport,
} from '../../protocol/core_service.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import type {Route} from '../../protocol/route_table.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {CoreState} from '../core/core_state.ts';
import {createFollowService} from '../core/follow_service.ts';
import type {AttemptOptions, AttemptOutcome, Call, CallFacts} from './call.ts';
import {
  createAnswer,
  createEndpoint,
  createRoute,
  FakeGateway,
} from './forwarding_fakes.ts';
import {SimulatedEngines} from './simulated_engines.ts';

/** The interval at which gateways follow the core, in ms. */
const FOLLOW_MS = 200;

/** The interval at which core daemons exchange their tables, in ms. */
const EXCHANGE_MS = 200;

/** The interval of the endpoints' heartbeats, in ms. */
const HEARTBEAT_MS = 1_000;

/** The time that a message takes between two hosts, in ms. */
const MESSAGE_MS = 20;

/** How long an endpoint works on a request, in ms. */
const WORK_MS = 60;

/** The resolution of the simulation, in ms. */
const STEP_MS = 10;

const CONFIGURATION: Configuration = {
  revision: 1,
  version: 1,
  document: '',
  rollouts: [],
};

/** A limit that an endpoint names in its answers for some time. */
export interface SiteLimit {
  /** The index of the endpoint. */
  readonly endpoint: number;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

export interface SimulatedSiteOptions {
  readonly seed: number;
  /** 9 by default. */
  readonly gateways?: number;
  /** 5 by default. */
  readonly cores?: number;
  /** 6 by default. */
  readonly endpoints?: number;
  /** None by default. */
  readonly limits?: readonly SiteLimit[];
  /** Lets endpoints be engines that crash; they do not by default. */
  readonly engines?: {
    readonly batch: number;
    readonly badParts: ReadonlySet<string>;
  };
  /** The share of messages between daemons that are lost; 0 by default. */
  readonly lossShare?: number;
  /** The share of answers that are errors; 0 by default. */
  readonly failureShare?: number;
  readonly route?: Partial<Route>;
}

/** A request that arrived at an endpoint. */
export interface Arrival {
  readonly atMs: number;
  readonly endpoint: number;
  readonly gateway: number;
  /** Whether the gateway was restarted or cut off less than 4 s before. */
  readonly isExcused: boolean;
  /** Whether an answer told the gateway of the limit 0.5 s before or earlier. */
  readonly isTold: boolean;
  /** Whether the gateway followed the core long enough to know of the limit. */
  readonly isInformed: boolean;
  /** The ids of its prompt's parts. */
  readonly parts: readonly string[];
}

/** A request as its caller saw it. */
export interface SiteRequest {
  readonly atMs: number;
  readonly gateway: number;
  readonly isExcused: boolean;
  /** The ids of its prompt's parts. */
  readonly parts: readonly string[];
  status: number;
}

/** A request that a gateway refused. */
export interface Refusal {
  readonly atMs: number;
  /** How long the caller had waited, in ms. */
  readonly waitedMs: number;
  readonly retryAfterMs: number;
}

interface SimulatedGateway {
  fake: FakeGateway;
  startedAt: number;
  disturbedAt: number;
  cutUntil: number;
  followAt: number;
  position: {
    epoch: string;
    endpointRevision: number;
    gatewayRevision: number;
    limitRevision?: number | undefined;
  };
  /** When an answer first named the limit, by endpoint. */
  told: Map<number, number>;
}

interface SimulatedCore {
  state: CoreState;
  follow: ReturnType<typeof createFollowService>;
  epoch: string;
}

/** The time after which an answer counts as known to its gateway, in ms. */
const TOLD_MS = 500;

/** The time in which a limit reaches all gateways through the core, in ms. */
const INFORM_MS = 1_500;

/** How long a disturbance excuses a gateway, in ms. */
const EXCUSED_MS = 4_000;

export class SimulatedSite {
  readonly clock = new SimulatedClock();
  readonly arrivals: Arrival[] = [];
  readonly refusals: Refusal[] = [];
  readonly requests: SiteRequest[] = [];
  answered = 0;
  readonly engines: SimulatedEngines | null;
  private readonly draw: () => number;
  private readonly fixedEndpoints: readonly EndpointEntry[];
  private readonly gateways: SimulatedGateway[];
  private readonly cores: SimulatedCore[];
  /** When an answer first named the limit of an endpoint to any gateway. */
  private readonly namedAt = new Map<number, number>();
  private coreDisturbedAt = -Infinity;
  private restarts = 0;
  private sequence = 1;
  private exchangeAt = 0;
  private heartbeatAt = 0;

  constructor(private readonly options: SimulatedSiteOptions) {
    const {seed, gateways = 9, cores = 5, endpoints = 6} = options;
    const generator = xoroshiro128plus(seed);
    this.draw = () => uniformFloat64(generator);
    this.fixedEndpoints = Array.from({length: endpoints}, (_, index) =>
      createEndpoint(`e${index}`),
    );
    this.engines = options.engines
      ? new SimulatedEngines({
          ...options.engines,
          clock: this.clock,
          draw: this.draw,
          count: endpoints,
        })
      : null;
    this.cores = Array.from({length: cores}, (_, index) =>
      this.createCore(index),
    );
    this.gateways = Array.from({length: gateways}, (_, index) =>
      this.createGateway(index),
    );
  }

  /** Counts the requests that an endpoint got in a span of time. */
  countArrivals(endpoint: number, fromMs: number, untilMs: number): number {
    return this.arrivals.filter(
      each =>
        each.endpoint === endpoint &&
        each.atMs >= fromMs &&
        each.atMs < untilMs,
    ).length;
  }

  /** Runs the site under a load in requests per second. */
  async run(
    forMs: number,
    perSecond: number,
    drawFacts: () => Partial<CallFacts> = () => ({}),
  ): Promise<void> {
    const end = this.clock.monotonic() + forMs;
    while (this.clock.monotonic() < end) {
      this.step();
      // At most one request a step and gateway, with the mean of the load.
      const probability = (perSecond * STEP_MS) / 1_000 / this.gateways.length;
      for (const gateway of this.gateways) {
        if (this.draw() < probability) void this.request(gateway, drawFacts());
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Restarts a gateway; it knows nothing of its earlier life. */
  restartGateway(index: number): void {
    const gateway = this.createGateway(index);
    gateway.disturbedAt = this.clock.monotonic();
    this.gateways[index] = gateway;
  }

  /** Cuts a gateway off from the core; its endpoints stay reachable. */
  cutGateway(index: number, forMs: number): void {
    const gateway = this.gateways[index];
    if (gateway) gateway.cutUntil = this.clock.monotonic() + forMs;
  }

  /** Restarts a core daemon with empty tables. */
  restartCore(index: number): void {
    this.cores[index] = this.createCore(index);
    if (this.engines) this.coreDisturbedAt = this.clock.monotonic();
  }

  /** The limit that an endpoint names at a time; `null` for none. */
  findLimit(endpoint: number, atMs: number): number | null {
    const limit = this.options.limits?.find(
      each =>
        each.endpoint === endpoint &&
        each.fromMs <= atMs &&
        atMs < each.untilMs,
    );
    return limit?.perSecond ?? null;
  }

  private get endpoints(): readonly EndpointEntry[] {
    return this.engines?.listRunning() ?? this.fixedEndpoints;
  }

  private step(): void {
    const now = this.clock.monotonic();
    if (now >= this.heartbeatAt) {
      this.heartbeatAt = now + HEARTBEAT_MS;
      this.sequence++;
      for (const core of this.cores) this.sendHeartbeats(core);
    }
    if (now >= this.exchangeAt) {
      this.exchangeAt = now + EXCHANGE_MS;
      this.exchange();
    }
    for (const gateway of this.gateways) {
      if (now < gateway.followAt || now < gateway.cutUntil) continue;
      gateway.followAt = now + FOLLOW_MS;
      void this.follow(gateway);
    }
  }

  private async request(
    gateway: SimulatedGateway,
    facts: Partial<CallFacts>,
  ): Promise<void> {
    const sentAt = this.clock.monotonic();
    const attemptId = `c${this.arrivals.length}-${this.draw()}`;
    const request: SiteRequest = {
      atMs: sentAt,
      gateway: this.gateways.indexOf(gateway),
      isExcused: this.isExcused(gateway),
      parts: listParts(facts),
      status: 0,
    };
    this.requests.push(request);
    const {sink, done} = gateway.fake.start({attemptId, ...facts});
    await done;
    request.status = sink.status;
    if (sink.status === 200) this.answered++;
    if (sink.status !== 503) return;
    const retryAfter = sink.headers.find(([name]) => name === 'Retry-After');
    this.refusals.push({
      atMs: this.clock.monotonic(),
      waitedMs: this.clock.monotonic() - sentAt,
      retryAfterMs: Number(retryAfter?.[1]) * 1_000,
    });
  }

  private createGateway(index: number): SimulatedGateway {
    const fake = new FakeGateway({
      clock: this.clock,
      address: `g${index}`,
      route: createRoute({...this.options.route}),
      endpoints: this.endpoints,
      random: this.draw,
      behave: (call, options) => this.answer(gateway, index, {call, options}),
    });
    const gateway: SimulatedGateway = {
      fake,
      startedAt: this.clock.monotonic(),
      disturbedAt: -Infinity,
      cutUntil: -Infinity,
      followAt: this.clock.monotonic() + this.draw() * FOLLOW_MS,
      position: {
        epoch: '',
        endpointRevision: 0,
        gatewayRevision: 0,
        limitRevision: 0,
      },
      told: new Map(),
    };
    return gateway;
  }

  private createCore(index: number): SimulatedCore {
    const {clock} = this;
    const epoch = `core${index}/${this.restarts++}`;
    const address = `core${index}`;
    const state = new CoreState({
      clock,
      logger: silentLogger,
      self: {address, region: 'r', dataCentre: 'a', controlAddress: ''},
    });
    const follow = createFollowService({
      state,
      clock,
      epoch,
      getConfiguration: () => CONFIGURATION,
      isFresh: () => true,
    });
    const core = {state, follow, epoch};
    this.sendHeartbeats(core);
    return core;
  }

  private sendHeartbeats({state}: SimulatedCore): void {
    for (const endpoint of this.endpoints) {
      state.recordReport({...endpoint, sequence: this.sequence});
    }
  }

  private isLost(): boolean {
    const {lossShare = 0} = this.options;
    return lossShare > 0 && this.draw() < lossShare;
  }

  /** Whether the gateway or the core was disturbed a short time ago. */
  private isExcused({disturbedAt, cutUntil}: SimulatedGateway): boolean {
    const last = Math.max(disturbedAt, cutUntil, this.coreDisturbedAt);
    return this.clock.monotonic() - last < EXCUSED_MS;
  }

  private exchange(): void {
    for (const from of this.cores) {
      for (const to of this.cores) {
        if (from === to || this.isLost()) continue;
        const reply = to.state.receiveExchange({
          from: from.state.self,
          cores: [],
          reports: [],
          gateways: from.state.gateways.listDirect(
            this.clock.monotonic() - EXCHANGE_MS * 2,
          ),
          wantsAll: false,
        });
        from.state.mergeExchange(reply, to.state.self.address);
      }
    }
  }

  private async follow(gateway: SimulatedGateway): Promise<void> {
    const {fake, position} = gateway;
    const core = this.cores[this.gateways.indexOf(gateway) % this.cores.length];
    if (!core) return;
    const report: GatewayReport = fake.createReport();
    await this.clock.sleep(MESSAGE_MS);
    if (this.isLost()) return;
    const reply = await core.follow({
      report,
      ...position,
      configurationRevision: fake.view.revision,
      holdMs: 0,
    });
    await this.clock.sleep(MESSAGE_MS);
    if (this.isLost()) return;
    fake.view.apply(reply);
    const {epoch, endpointRevision, gatewayRevision, limitRevision} = reply;
    gateway.position = {
      epoch,
      endpointRevision,
      gatewayRevision,
      limitRevision,
    };
  }

  private async answer(
    gateway: SimulatedGateway,
    index: number,
    {call, options}: {call: Call; options: AttemptOptions},
  ): Promise<AttemptOutcome> {
    if (!options.mayBegin()) return {type: 'withdrawn'};
    const endpoint = Number(options.endpoint.id.slice(1));
    const now = this.clock.monotonic();
    const {startedAt, cutUntil, told} = gateway;
    const namedAt = this.namedAt.get(endpoint) ?? Infinity;
    const knownSince = Math.max(startedAt, cutUntil, namedAt);
    this.arrivals.push({
      atMs: now,
      endpoint,
      gateway: index,
      isExcused: this.isExcused(gateway),
      isTold: now - (told.get(endpoint) ?? Infinity) >= TOLD_MS,
      isInformed: now - knownSince >= INFORM_MS,
      parts: listParts(call.facts),
    });
    if (this.engines) return this.engines.answer(call, options);
    await this.clock.sleep(WORK_MS, options.signal);
    const limitPerSecond = this.findLimit(endpoint, this.clock.monotonic());
    if (limitPerSecond !== null) this.recordTold(told, endpoint);
    const hasFailed = this.draw() < (this.options.failureShare ?? 0);
    return createAnswer(call, options, {
      status: hasFailed ? 500 : 200,
      facts: {limitPerSecond},
    });
  }

  private recordTold(told: Map<number, number>, endpoint: number): void {
    const now = this.clock.monotonic();
    if (!told.has(endpoint)) told.set(endpoint, now);
    if (!this.namedAt.has(endpoint)) this.namedAt.set(endpoint, now);
  }
}

function listParts({prompt = []}: Partial<CallFacts>): string[] {
  return prompt.map(({id}) => id);
}
