/**
 * A site without a network whose endpoints turn cold, for histories of its faults.
 *
 * Core daemons and the gateways' limits on cold endpoints are the real ones.
 * Requests are drawn, and endpoints record when requests arrive.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import {SimulatedClock} from '../../protocol/simulated_clock.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {computeDistance} from '../membership/compute_distance.ts';
import {
  COLD_MS,
  createPlace,
  findRegion,
  TICK_MS,
  type ColdPeriod,
  type ColdSiteOptions,
  type SimulatedEndpoint,
  type WaitingCaller,
} from './cold_site_types.ts';
import {ColdSiteCore} from './cold_site_core.ts';
import {ColdSiteGateway} from './cold_site_gateway.ts';

const HEARTBEAT_MS = 1_200;

/** The share of heartbeats that are late, and by how much at most. */
const LATE_SHARE = 0.03;
const MAX_LATE_MS = 3_000;

/** The one-way time of a message in a data centre, a region and beyond. */
const TRANSIT_MS = [1, 4, 30] as const;

/** By how much the transit time of requests varies. */
const TRANSIT_JITTER_MS = 20;

/** How often a gateway asks the core for changes; long polls answer sooner. */
const FOLLOW_MS = 250;

/** How long a core daemon gathers urgent changes, and its other interval. */
const URGENT_MS = 30;
const EXCHANGE_MS = 400;

/** How long a refused caller waits at least, and how much longer. */
const RETURN_MS = 300;
const RETURN_JITTER_MS = 700;

const SKIPPED_DRAWS = 20;

export class SimulatedColdSite {
  readonly clock = new SimulatedClock();
  readonly draw: () => number;
  readonly endpoints: SimulatedEndpoint[];
  readonly gateways: ColdSiteGateway[];
  /** The cold starts, as the endpoints know them. */
  readonly periods: ColdPeriod[] = [];
  /** When requests were refused, for lack of an endpoint with room. */
  readonly refusedAt: number[] = [];
  private readonly cores: ColdSiteCore[];
  private readonly queue = new Map<number, Array<() => void>>();
  private restarts = 0;

  constructor(readonly options: ColdSiteOptions) {
    const generator = xoroshiro128plus(options.seed);
    this.draw = () => uniformFloat64(generator);
    // The first numbers of neighbouring seeds are alike.
    for (let count = 0; count < SKIPPED_DRAWS; count++) this.draw();
    this.cores = Array.from({length: options.cores}, (_, index) =>
      this.createCore(index),
    );
    this.endpoints = Array.from({length: options.endpoints}, (_, index) => ({
      entry: createEndpoint(`e${index}`, createPlace(index)),
      coldUntil: -Infinity,
      heartbeatAt: this.draw() * HEARTBEAT_MS,
      isDown: false,
      arrivals: [],
    }));
    this.gateways = Array.from({length: options.gateways}, (_, index) =>
      this.createGateway(index),
    );
  }

  /** Lets time pass. */
  async run(ms: number): Promise<void> {
    const end = this.clock.monotonic() + ms;
    while (this.clock.monotonic() < end) {
      this.step();
      await this.clock.advance(TICK_MS);
    }
  }

  /** Lets a warm endpoint turn cold, as it may at any moment. */
  turnCold(index: number): void {
    const endpoint = this.endpoints[index];
    if (!endpoint || endpoint.isDown || this.isCold(endpoint)) return;
    this.beginCold(endpoint, {isNewStart: false});
    // It reports with its next heartbeat at the latest.
    endpoint.heartbeatAt = Math.min(
      endpoint.heartbeatAt,
      this.clock.monotonic() + this.draw() * 100,
    );
  }

  /** Lets an endpoint end, and start anew after `downMs`. */
  restartEndpoint(index: number, downMs: number): void {
    const endpoint = this.endpoints[index];
    if (!endpoint || endpoint.isDown) return;
    endpoint.isDown = true;
    this.endPeriod(endpoint);
    this.schedule(downMs, () => {
      endpoint.isDown = false;
      endpoint.entry = {
        ...endpoint.entry,
        startedAtMs: endpoint.entry.startedAtMs + 1,
        sequence: 1,
      };
      this.beginCold(endpoint, {isNewStart: true});
      endpoint.heartbeatAt = this.clock.monotonic();
    });
  }

  /** Ends a gateway and starts it again with empty tables. */
  restartGateway(index: number, downMs: number): void {
    const gateway = this.gateways[index];
    if (!gateway) return;
    gateway.isDown = true;
    this.schedule(downMs, () => {
      this.gateways[index] = this.createGateway(index);
    });
  }

  /** Stops a gateway's process for a while; its callers wait. */
  freezeGateway(index: number, ms: number): void {
    const until = this.clock.monotonic() + ms;
    const gateway = this.gateways[index];
    if (gateway) gateway.frozenUntil = Math.max(gateway.frozenUntil, until);
  }

  /** Cuts a gateway off the core. */
  cutGateway(index: number, ms: number): void {
    const until = this.clock.monotonic() + ms;
    const gateway = this.gateways[index];
    if (gateway) gateway.cutUntil = Math.max(gateway.cutUntil, until);
  }

  /** Cuts a core daemon off the others; its gateways move to another one. */
  cutCore(index: number, ms: number): void {
    const core = this.cores[index];
    if (core) core.cutUntil = this.clock.monotonic() + ms;
  }

  restartCore(index: number): void {
    this.cores[index] = this.createCore(index);
  }

  private createCore(index: number): ColdSiteCore {
    const epoch = `c${index}/${this.restarts++}`;
    return new ColdSiteCore({clock: this.clock, index, epoch});
  }

  private createGateway(index: number): ColdSiteGateway {
    return new ColdSiteGateway({
      clock: this.clock,
      index,
      coldStart: this.options.coldStart,
      bounds: this.options.bounds,
      followAt: this.clock.monotonic() + this.draw() * FOLLOW_MS,
      random: this.draw,
    });
  }

  private isCold({coldUntil}: SimulatedEndpoint): boolean {
    return coldUntil > this.clock.monotonic();
  }

  private beginCold(
    endpoint: SimulatedEndpoint,
    {isNewStart}: {isNewStart: boolean},
  ): void {
    const fromMs = this.clock.monotonic();
    endpoint.coldUntil = fromMs + COLD_MS;
    this.periods.push({
      endpoint: this.endpoints.indexOf(endpoint),
      startedAtMs: endpoint.entry.startedAtMs,
      isNewStart,
      fromMs,
      untilMs: endpoint.coldUntil,
      reportedAt: Infinity,
    });
  }

  /** Ends the cold start of an endpoint that goes down. */
  private endPeriod(endpoint: SimulatedEndpoint): void {
    const now = this.clock.monotonic();
    const period = this.findPeriod(endpoint);
    if (period) period.untilMs = Math.min(period.untilMs, now);
    endpoint.coldUntil = -Infinity;
  }

  private findPeriod(endpoint: SimulatedEndpoint): ColdPeriod | undefined {
    const index = this.endpoints.indexOf(endpoint);
    return this.periods.filter(each => each.endpoint === index).at(-1);
  }

  private schedule(ms: number, run: () => void): void {
    const tick = Math.round((this.clock.monotonic() + ms) / TICK_MS);
    const due = Math.max(tick, this.clock.monotonic() / TICK_MS + 1);
    const runs = this.queue.get(due) ?? [];
    this.queue.set(due, runs);
    runs.push(run);
  }

  private step(): void {
    const now = this.clock.monotonic();
    const tick = now / TICK_MS;
    for (const run of this.queue.get(tick) ?? []) run();
    this.queue.delete(tick);
    for (const endpoint of this.endpoints) {
      if (endpoint.isDown || now < endpoint.heartbeatAt) continue;
      endpoint.heartbeatAt = now + HEARTBEAT_MS;
      this.sendHeartbeat(endpoint);
    }
    for (const core of this.cores) this.stepCore(core);
    for (const gateway of this.gateways) this.stepGateway(gateway);
  }

  private sendHeartbeat(endpoint: SimulatedEndpoint): void {
    const now = this.clock.monotonic();
    const {entry} = endpoint;
    entry.sequence++;
    const report = {...entry, warmupMs: Math.max(0, endpoint.coldUntil - now)};
    const isLate = this.draw() < LATE_SHARE;
    const delayMs = isLate ? this.draw() * MAX_LATE_MS : 5 + this.draw() * 40;
    const index = Math.floor(this.draw() * this.cores.length);
    const period = this.findPeriod(endpoint);
    this.schedule(delayMs, () => {
      const core = this.cores[index];
      if (!core || core.cutUntil > this.clock.monotonic()) return;
      core.state.recordReport(report);
      if (report.warmupMs === 0 || !period) return;
      const at = this.clock.monotonic();
      period.reportedAt = Math.min(period.reportedAt, at);
    });
  }

  private stepCore(core: ColdSiteCore): void {
    const now = this.clock.monotonic();
    core.sweep();
    if (!core.isExchangeDue({urgentMs: URGENT_MS, intervalMs: EXCHANGE_MS}))
      return;
    const reports = core.takeReports();
    for (const peer of this.cores) {
      if (peer === core) continue;
      const isCut = core.cutUntil > now || peer.cutUntil > now;
      core.exchange(peer, {reports, isCut, intervalMs: EXCHANGE_MS});
    }
  }

  private stepGateway(gateway: ColdSiteGateway): void {
    const now = this.clock.monotonic();
    const {perSecond, loads} = this.options;
    const load = loads[gateway.index % loads.length] ?? 1;
    const share = load / this.options.gateways;
    if (this.draw() < (perSecond * share * TICK_MS) / 1_000) {
      this.request(gateway.index, 0);
    }
    if (gateway.isDown || now < gateway.frozenUntil) return;
    // Callers waited for a frozen gateway. It acts on them before it hears anything.
    for (const caller of gateway.takeWaiting()) this.forward(gateway, caller);
    gateway.update();
    if (now < gateway.followAt || now < gateway.cutUntil) return;
    gateway.followAt = now + FOLLOW_MS;
    const first = gateway.index + gateway.moves;
    const core = this.cores[first % this.cores.length];
    if (!core || core.cutUntil > now) {
      gateway.moves++;
      return;
    }
    void this.follow(gateway, core);
  }

  private async follow(
    gateway: ColdSiteGateway,
    core: ColdSiteCore,
  ): Promise<void> {
    const sentAt = this.clock.monotonic();
    const reply = await core.follow(gateway.createRequest());
    this.schedule(10 + this.draw() * 40, () => {
      const now = this.clock.monotonic();
      const receivedAt = Math.max(now, gateway.frozenUntil);
      const apply = () => {
        if (gateway.isDown || gateway.cutUntil > sentAt) return;
        gateway.apply(reply, sentAt);
      };
      if (receivedAt > now) this.schedule(receivedAt - now + TICK_MS, apply);
      else apply();
    });
  }

  /** A caller sends a request to a gateway, for the first time or again. */
  private request(index: number, returns: number): void {
    const gateway = this.gateways[index];
    const receivedAt = this.clock.monotonic();
    if (gateway) this.receive(gateway, {returns, receivedAt});
  }

  private receive(gateway: ColdSiteGateway, caller: WaitingCaller): void {
    if (gateway.isDown) return;
    const isFrozen = this.clock.monotonic() < gateway.frozenUntil;
    if (isFrozen) gateway.wait(caller);
    else this.forward(gateway, caller);
  }

  private forward(gateway: ColdSiteGateway, caller: WaitingCaller): void {
    const {rule} = gateway.limits;
    gateway.limits.recordRequest();
    const candidates = gateway
      .listCandidates()
      .filter(({id}) => !this.getEndpoint(id).isDown);
    for (const entry of candidates) {
      if (!rule.hasRoom(entry)) continue;
      // The slots of an endpoint that the gateway takes for warm are often taken.
      const isFull = this.draw() < this.options.fullShare;
      if (isFull && !gateway.isKnownCold(entry)) continue;
      if (rule.tryTake(entry, 'first')) return this.deliver(gateway, entry);
    }
    const now = this.clock.monotonic();
    const waits = candidates.map(each => rule.getWaitMs(each));
    const waitMs = Math.min(...waits.filter(ms => ms > 0), Infinity);
    if (now + waitMs - caller.receivedAt <= this.options.patienceMs) {
      this.schedule(waitMs, () => this.receive(gateway, caller));
      return;
    }
    this.refusedAt.push(now);
    if (caller.returns >= this.options.maxReturns) return;
    const next = Math.floor(this.draw() * this.gateways.length);
    const returnMs = RETURN_MS + this.draw() * RETURN_JITTER_MS;
    this.schedule(returnMs, () => this.request(next, caller.returns + 1));
  }

  private getEndpoint(id: string): SimulatedEndpoint {
    const endpoint = this.endpoints[Number(id.slice(1))];
    if (!endpoint) throw new Error(`Could not find endpoint ${id}`);
    return endpoint;
  }

  private deliver(
    gateway: ColdSiteGateway,
    {id, startedAtMs}: EndpointEntry,
  ): void {
    const {entry, arrivals} = this.getEndpoint(id);
    // Another start answers 421, which does not count.
    if (entry.startedAtMs !== startedAtMs) return;
    const {index, self, contactAt} = gateway;
    const place = {...entry, region: findRegion(entry.dataCentre)};
    const transitMs = TRANSIT_MS[computeDistance(self, place)];
    const jitterMs = this.draw() * TRANSIT_JITTER_MS;
    arrivals.push({
      atMs: this.clock.monotonic() + transitMs + jitterMs,
      startedAtMs,
      gateway: index,
      isKnown: gateway.isKnownCold(entry),
      contactAt,
    });
  }
}
