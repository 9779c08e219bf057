/**
 * Gateways, core daemons and endpoints in one process, on a simulated clock.
 *
 * Meant for tests of what gateways keep together: each one follows a core
 * daemon, and the endpoints record which gateway sent them what and when.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {silentLogger} from '../../protocol/logger.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import type {AttemptOptions, AttemptOutcome, Call} from '../forwarding/call.ts';
import type {CoreState} from '../core/core_state.ts';
import {createAnswer} from '../forwarding/fake_answers.ts';
import {
  createEndpoint,
  createRoute,
  FakeGateway,
  type FakeRequest,
} from '../forwarding/forwarding_fakes.ts';
import {
  createSimulatedCore,
  exchangeOnce,
  type SimulatedCore,
} from './simulated_core.ts';
import {SimulatedEngines} from './simulated_engines.ts';
import {answerOverLinks} from './simulated_links.ts';
import {callCore, followOnce} from './simulated_messages.ts';
import {createRelayOptions} from './simulated_relay.ts';
import {
  createSimulatedGateway,
  type SimulatedGateway,
} from './simulated_gateway.ts';
import {
  listParts,
  type Arrival,
  type LinkFault,
  type Refusal,
  type SimulatedSiteOptions,
  type SiteLoad,
  type SiteRequest,
} from './simulated_site_types.ts';
import {createTrialClient} from '../quarantine/trial_client.ts';

/** The interval at which gateways follow the core, in ms. */
const FOLLOW_MS = 200;

/** How long a core daemon may hold a call while nothing changes, in ms. */
const HOLD_MS = 150;

/** The intervals of exchanges between core daemons and of heartbeats, in ms. */
const EXCHANGE_MS = 200;
const HEARTBEAT_MS = 1_000;

/** The time of an endpoint's work, in ms. */
const WORK_MS = 60;

const STEP_MS = 10;
const CORE_PREFIX = 'core';

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
    return this.arrivals
      .filter(each => each.endpoint === endpoint)
      .filter(({atMs}) => atMs >= fromMs && atMs < untilMs).length;
  }

  /** Runs the site under a load in requests per second. */
  async run(
    forMs: number,
    perSecond: number,
    drawRequest: () => FakeRequest = () => ({}),
  ): Promise<void> {
    return this.runLoads(forMs, [{perSecond, drawRequest}]);
  }

  /** Runs the site under several loads. */
  async runLoads(forMs: number, loads: readonly SiteLoad[]): Promise<void> {
    const end = this.clock.monotonic() + forMs;
    while (this.clock.monotonic() < end) {
      this.step();
      for (const load of loads) this.drawRequests(load);
      await this.clock.advance(STEP_MS);
    }
  }

  /** Sends at most one request a gateway, with the mean of the load. */
  private drawRequests({perSecond, drawRequest, gateway}: SiteLoad): void {
    const targets =
      gateway === undefined
        ? this.gateways
        : this.gateways.slice(gateway, gateway + 1);
    const probability = (perSecond * STEP_MS) / 1_000 / targets.length;
    for (const target of targets) {
      if (target.isReady && this.draw() < probability) {
        void this.request(target, drawRequest());
      }
    }
  }

  /** Breaks the connections of a gateway to all endpoints for a while. */
  breakLinks(index: number, fault: LinkFault, forMs: number): void {
    const gateway = this.gateways[index];
    if (!gateway) return;
    gateway.linkFault = fault;
    if (fault !== 'hang') gateway.links.abort();
    gateway.links = new AbortController();
    void this.clock.sleep(forMs).then(() => (gateway.linkFault = null));
  }

  /** Lists the prompt parts that a core daemon takes for condemned. */
  listCondemned(): string[] {
    const tables = this.cores.map(({state}) => state.suspects.table);
    return tables.flatMap(each => each.listCondemned().map(({part}) => part));
  }

  /** Restarts a gateway without any state. */
  restartGateway(index: number): void {
    const gateway = this.createGateway(index);
    gateway.disturbedAt = this.clock.monotonic();
    this.gateways[index] = gateway;
  }

  /** Cuts a gateway off from the core. */
  cutGateway(index: number, forMs: number): void {
    const gateway = this.gateways[index];
    if (gateway) gateway.cutUntil = this.clock.monotonic() + forMs;
  }

  /** Restarts a core daemon, by default with an empty disk. */
  restartCore(index: number, {keepsDisk = false} = {}): void {
    const saved = this.cores[index]?.state.suspects.table.list() ?? [];
    const core = this.createCore(index);
    if (keepsDisk) core.state.suspects.merge(saved, this.clock.monotonic());
    this.cores[index] = core;
    if (this.engines) this.coreDisturbedAt = this.clock.monotonic();
  }

  /** The limit that an endpoint names at a time; `null` for none. */
  findLimit(endpoint: number, atMs: number): number | null {
    const limit = this.options.limits
      ?.filter(each => each.endpoint === endpoint)
      .find(({fromMs, untilMs}) => fromMs <= atMs && atMs < untilMs);
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
    const isUrgent = this.cores.some(core => core.hasUrgentChange);
    if (isUrgent || now >= this.exchangeAt) {
      this.exchangeAt = now + EXCHANGE_MS;
      for (const core of this.cores) core.hasUrgentChange = false;
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
    drawn: FakeRequest,
  ): Promise<void> {
    const sentAt = this.clock.monotonic();
    const attemptId = `c${this.arrivals.length}-${this.draw()}`;
    const request: SiteRequest = {
      atMs: sentAt,
      gateway: this.gateways.indexOf(gateway),
      isExcused: this.isExcused(gateway),
      parts: listParts(drawn),
      body: drawn.body ?? '',
      status: 0,
      text: '',
    };
    this.requests.push(request);
    const {sink, done} = gateway.fake.start({attemptId, ...drawn});
    await done;
    request.status = sink.status;
    request.text = sink.text;
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
      ...(this.options.customers && {customers: this.options.customers}),
      endpoints: this.endpoints,
      random: this.draw,
      behave: (call, options) => this.answer(gateway, index, {call, options}),
      trials: createTrialClient({
        clock: this.clock,
        logger: silentLogger,
        listCores: () => this.cores.map((_, core) => `${CORE_PREFIX}${core}`),
        getService: core => ({
          requestTrial: request =>
            this.call(gateway, core, state =>
              state.suspects.openTrial(request),
            ),
          finishTrial: request =>
            this.call(gateway, core, state =>
              state.suspects.finishTrial(request),
            ),
        }),
      }),
      onObservation: () => {
        gateway.followAt = this.clock.monotonic();
      },
      ...createRelayOptions({
        clock: this.clock,
        engines: this.engines,
        getSelf: () => gateway,
        findGateway: address => this.gateways[Number(address.slice(1))],
      }),
    });
    const gateway = createSimulatedGateway(fake, {
      clock: this.clock,
      isReady: !this.engines,
      followAt: this.clock.monotonic() + this.draw() * FOLLOW_MS,
    });
    return gateway;
  }

  private createCore(index: number): SimulatedCore {
    const core = createSimulatedCore({
      clock: this.clock,
      address: `${CORE_PREFIX}${index}`,
      epoch: `core${index}/${this.restarts++}`,
    });
    this.sendHeartbeats(core);
    return core;
  }

  private sendHeartbeats({state}: SimulatedCore): void {
    const reporting = this.engines?.listReporting() ?? this.fixedEndpoints;
    for (const endpoint of reporting) {
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
        exchangeOnce(from, to, this.clock.monotonic());
      }
    }
  }

  private follow(gateway: SimulatedGateway): Promise<void> {
    const core = this.cores[this.gateways.indexOf(gateway) % this.cores.length];
    return followOnce(gateway, core, {
      clock: this.clock,
      holdMs: this.engines ? HOLD_MS : 0,
      isLost: () => this.isLost(),
    });
  }

  private call<T>(
    {cutUntil}: SimulatedGateway,
    address: string,
    serve: (state: CoreState) => T,
  ): Promise<T> {
    const {clock} = this;
    return callCore({
      clock,
      isLost: () => clock.monotonic() < cutUntil || this.isLost(),
      core: this.cores[Number(address.slice(CORE_PREFIX.length))],
      serve,
    });
  }

  private async answer(
    gateway: SimulatedGateway,
    index: number,
    {call, options}: {call: Call; options: AttemptOptions},
  ): Promise<AttemptOutcome> {
    if (!options.mayBegin()) return {type: 'withdrawn'};
    if (this.engines && !this.engines.isListening(options.endpoint)) {
      return {type: 'not-sent', reason: 'ECONNREFUSED'};
    }
    const endpoint = Number(options.endpoint.id.slice(1));
    const now = this.clock.monotonic();
    const {startedAt, cutUntil, told} = gateway;
    const namedAt = this.namedAt.get(endpoint) ?? Infinity;
    const knownSince = Math.max(startedAt, cutUntil, namedAt);
    if (gateway.linkFault === null) {
      this.arrivals.push({
        attemptId: call.facts.attemptId,
        atMs: now,
        endpoint,
        gateway: index,
        isExcused: this.isExcused(gateway),
        isTold: now - (told.get(endpoint) ?? Infinity) >= TOLD_MS,
        isInformed: now - knownSince >= INFORM_MS,
        parts: listParts(call.facts),
        body: call.body.toString(),
      });
    }
    if (this.engines) {
      const {engines, clock} = this;
      const answer = (linked: AttemptOptions) => engines.answer(call, linked);
      return answerOverLinks(gateway, {clock, options, answer});
    }
    await this.clock.sleep(WORK_MS, options.signal);
    const answeredAt = this.clock.monotonic();
    const limitPerSecond = this.findLimit(endpoint, answeredAt);
    if (limitPerSecond !== null) {
      if (!told.has(endpoint)) told.set(endpoint, answeredAt);
      if (!this.namedAt.has(endpoint)) this.namedAt.set(endpoint, answeredAt);
    }
    const hasFailed = this.draw() < (this.options.failureShare ?? 0);
    return createAnswer(call, options, {
      status: hasFailed ? 500 : 200,
      facts: {limitPerSecond},
    });
  }
}
