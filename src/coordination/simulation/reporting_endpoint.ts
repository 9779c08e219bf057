/** An endpoint that reports itself to the core, leaves and comes back. */
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import type {Draws} from '../../protocol/seeded_draws.ts';
import {createEndpoint} from '../forwarding/forwarding_fakes.ts';
import {HostClock} from '../replication/simulated_host.ts';
import type {SimulatedProcess} from './control_network.ts';
import type {ControlCore, ControlPlane} from './control_plane.ts';

const HEARTBEAT_MS = 1_200;

/** How long an endpoint waits for an answer, and tries before it gives up. */
const ANSWER_MS = 1_000;
const LEAVE_WITHIN_MS = 6_000;

/** The share of heartbeats of which a copy arrives late. */
const LATE_SHARE = 0.05;

/** How it leaves. */
export type Departure =
  /** It repeats `draining` until it deregisters. */
  | 'draining'
  /** It deregisters at once and says nothing more. */
  | 'deregister'
  /** The same, and its heartbeats go on. */
  | 'deregister-and-report';

/** An acknowledged departure. */
export interface AcknowledgedDeparture {
  readonly id: string;
  readonly startedAtMs: number;
  readonly atMs: number;
  /** How long the acknowledgement took. */
  readonly tookMs: number;
  /** The core daemon that gave it. */
  readonly by: string;
}

export interface ReportingEndpointOptions {
  readonly plane: ControlPlane;
  readonly draws: Draws;
  readonly index: number;
  readonly region: string;
  readonly onDeparture: (departure: AcknowledgedDeparture) => void;
  /** Called when a departure got no acknowledgement. */
  readonly onUnacknowledged: (id: string) => void;
}

export class ReportingEndpoint {
  private readonly process: SimulatedProcess;
  private id: string;
  private state: EndpointReport['state'] = 'ready';
  private startedAtMs = 1;
  private sequence = 0;
  private isSilent = false;
  private turn = 0;
  /** Whether any daemon has acknowledged a heartbeat of this start. */
  private isKnown = false;
  isLeaving = false;

  constructor(private readonly options: ReportingEndpointOptions) {
    const {plane, index, region} = options;
    this.id = `e${index}`;
    this.process = {
      address: `10.2.0.${index + 1}:80`,
      region,
      clock: new HostClock(plane.clock),
      isAlive: true,
      lagMs: 0,
    };
    this.start();
  }

  /**
   * Leaves, stops, and comes back as a new start.
   *
   * @param stopAfterMs The time until it stops; drawn by default.
   */
  async leave(how: Departure, stopAfterMs?: number): Promise<void> {
    if (this.isLeaving || !this.isKnown) return;
    this.isLeaving = true;
    const {plane, draws, index} = this.options;
    const {clock} = plane;
    const startedAt = clock.monotonic();
    if (how === 'draining') this.state = 'draining';
    else if (how === 'deregister') this.isSilent = true;
    const {id, startedAtMs} = this;
    const by = await this.callCore(LEAVE_WITHIN_MS, async core => {
      if (how === 'draining') {
        return this.sendReport(core);
      }
      return core.api.reportGone(id, startedAtMs);
    });
    const atMs = clock.monotonic();
    if (by === null) this.options.onUnacknowledged(id);
    else {
      const tookMs = atMs - startedAt;
      plane.trace(`${id}/${startedAtMs} may leave`, {how, by, tookMs});
      this.options.onDeparture({id, startedAtMs, atMs, tookMs, by});
    }
    await clock.sleep(stopAfterMs ?? 3_000 + draws.next() * 6_000);
    if (how === 'draining') {
      await this.callCore(ANSWER_MS, core =>
        core.api.reportGone(id, startedAtMs),
      );
    }
    this.isSilent = true;
    await clock.sleep(1_000 + draws.next() * 2_000);
    if (draws.next() < 0.5) this.id = `e${index}/${startedAtMs + 1}`;
    this.start();
  }

  /** Runs the heartbeats. */
  async run(): Promise<void> {
    const {plane, draws} = this.options;
    await plane.clock.sleep(draws.next() * HEARTBEAT_MS);
    for (;;) {
      if (!this.isSilent) {
        void this.sendHeartbeat();
        if (draws.next() < LATE_SHARE) void this.sendLateCopy();
      }
      await plane.clock.sleep(HEARTBEAT_MS);
    }
  }

  private start(): void {
    this.startedAtMs = Math.max(
      this.startedAtMs + 1,
      Math.round(this.options.plane.clock.now()),
    );
    this.state = 'ready';
    this.sequence = 0;
    this.isSilent = false;
    this.isLeaving = false;
    this.isKnown = false;
  }

  private createReport(): EndpointReport {
    const {silent: _silent, ...report} = createEndpoint(this.id, {
      address: this.process.address,
      state: this.state,
      startedAtMs: this.startedAtMs,
      sequence: ++this.sequence,
    });
    return report;
  }

  private async sendReport(core: ControlCore): Promise<boolean> {
    return core.api.reportEndpoint(this.createReport());
  }

  private async sendHeartbeat(): Promise<void> {
    const {startedAtMs} = this;
    const by = await this.callCore(ANSWER_MS, core => this.sendReport(core));
    if (by !== null && startedAtMs === this.startedAtMs) this.isKnown = true;
  }

  /** Delivers a report some seconds after it was written. */
  private async sendLateCopy(): Promise<void> {
    const {plane, draws} = this.options;
    const report = this.createReport();
    await plane.clock.sleep(draws.next() * 5_000);
    const core = plane.cores.get(this.chooseCore());
    core?.api.reportEndpoint(report);
  }

  private chooseCore(): string {
    const {coreNames} = this.options.plane;
    return coreNames[this.turn % coreNames.length] ?? '';
  }

  /** Calls one daemon after the other; returns the one that acknowledged. */
  private async callCore(
    withinMs: number,
    serve: (core: ControlCore) => Promise<boolean> | boolean,
  ): Promise<string | null> {
    const {plane} = this.options;
    const deadline = plane.clock.monotonic() + withinMs;
    while (plane.clock.monotonic() < deadline) {
      const address = this.chooseCore();
      const isDone = await plane.network
        .call({
          from: this.process,
          findReceiver: () => plane.cores.get(address),
          serve: async core => serve(core),
          timeoutMs: ANSWER_MS,
        })
        .catch(() => false);
      if (isDone) return address;
      this.turn++;
      await plane.clock.sleep(20);
    }
    return null;
  }
}
