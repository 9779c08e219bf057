/**
 * The gateway's task that follows one core daemon by long polls.
 *
 * It prefers near daemons, and switches to another one when a daemon does not
 * answer or has no contact with the leader. A gateway without a configuration
 * serves no requests, so it calls all daemons at once and follows the first
 * that has one: after an outage some are not running yet, and some have lost
 * their state.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  FollowReply,
  FollowRequest,
  GatewayReport,
} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import {createNotifier, type Notifier} from '../notifier.ts';
import type {GatewayView} from './gateway_view.ts';

/** How long a call may be held; also the interval of load reports. */
const HOLD_MS = 800;

/** The shortest hold while the gateway has requests open. */
const BUSY_HOLD_MS = 200;

/** The busy hold per gateway: bounds the load that they cause at the core. */
const HOLD_MS_PER_GATEWAY = 20;

/** The timeout beyond the hold; allows for one packet retransmission. */
const ANSWER_TIMEOUT_MS = 700;

/** The delay after a failed call, or while no daemon is known. */
const RETRY_DELAY_MS = 100;

/** How long a daemon that lags is avoided. */
const AVOID_LAGGING_MS = 3_000;

/**
 * How long a daemon that did not answer is avoided: as long as other daemons
 * list one that is lost.
 */
const AVOID_SILENT_MS = 30_000;

/** How long observations are gathered for a report of their own. */
const REPORT_DELAY_MS = 10;

/** How often daemons without an open call are called during the search. */
const SEARCH_INTERVAL_MS = 150;

/** The delay after a call to a daemon that lags, in case all others do. */
const LAG_RETRY_MS = 200;

/** The last changes received from one run of one daemon. */
type Position = Pick<
  FollowRequest,
  | 'epoch'
  | 'endpointRevision'
  | 'gatewayRevision'
  | 'limitRevision'
  | 'suspectRevision'
>;

const INITIAL_POSITION: Position = {
  epoch: '',
  endpointRevision: 0,
  gatewayRevision: 0,
  limitRevision: 0,
  suspectRevision: 0,
};

function readPosition(reply: FollowReply): Position {
  const {epoch, endpointRevision, gatewayRevision} = reply;
  const {limitRevision, suspectRevision} = reply;
  return {
    epoch,
    endpointRevision,
    gatewayRevision,
    limitRevision,
    suspectRevision,
  };
}

export interface CoreFollowerOptions {
  readonly view: GatewayView;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lists the addresses in the settings. */
  readonly listSeeds: () => readonly string[];
  readonly region: string;
  readonly dataCentre: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  readonly createReport: () => GatewayReport;
  /** Called when the followed daemon may know nothing of earlier reports. */
  readonly onEpoch?: () => void;
  readonly call: (
    address: string,
    request: FollowRequest,
    timeoutMs: number,
  ) => Promise<FollowReply>;
}

/** Follows the core until it is disposed. */
export class CoreFollower implements Disposable {
  private readonly stopped = new AbortController();
  /** When daemons that lag may be chosen again as any other. */
  private readonly laggingUntil = new Map<string, number>();
  /** The same for daemons that did not answer. */
  private readonly silentUntil = new Map<string, number>();
  private isStarted = false;
  private isReportPlanned = false;
  /** The last changes received from the followed daemon. */
  private position = INITIAL_POSITION;
  private followed: string | null = null;
  /** Whether the next call must not be held, to report a change at once. */
  private isReportDue = false;
  /** Daemons with an open call of the search for a configuration. */
  private readonly searching = new Set<string>();
  private readonly configurationFound: Notifier;

  constructor(private readonly options: CoreFollowerOptions) {
    this.configurationFound = createNotifier(options.clock);
  }

  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    void this.run();
  }

  /** Reports the gateway's state soon; calls in short succession join. */
  reportSoon(): void {
    if (this.isReportPlanned) return;
    this.isReportPlanned = true;
    const {clock} = this.options;
    void clock.sleep(REPORT_DELAY_MS, this.stopped.signal).then(async () => {
      this.isReportPlanned = false;
      if (!this.stopped.signal.aborted) await this.reportOnce();
    });
  }

  /** Reports the gateway's state to the core at once. */
  async reportOnce(): Promise<void> {
    this.isReportDue = true;
    const address = this.followed ?? this.chooseDaemon();
    if (address === null) return;
    try {
      await this.ask(address, 0);
    } catch (error) {
      const reason = (error as Error).message;
      this.options.logger.warn('Could not report to the core.', {
        address,
        reason,
      });
    }
  }

  /** Stops. An open call is not waited for, since a daemon may hold it. */
  [Symbol.dispose](): void {
    this.stopped.abort();
    this.configurationFound.notify();
  }

  private async run(): Promise<void> {
    const {clock, view} = this.options;
    const {signal} = this.stopped;
    while (!signal.aborted) {
      if (view.routes === null) {
        await this.searchDaemons();
        continue;
      }
      const address = this.chooseDaemon();
      if (address === null) {
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      if (address !== this.followed) this.switchDaemon(address);
      await this.followOnce(address);
    }
  }

  /** Calls all daemons at once; follows the first that has a configuration. */
  private async searchDaemons(): Promise<void> {
    const {logger} = this.options;
    for (const address of this.listAddresses()) {
      if (this.searching.has(address)) continue;
      this.searching.add(address);
      void this.askCandidate(address)
        .catch((error: Error) =>
          logger.info('Could not request the configuration.', {
            address,
            reason: error.message,
          }),
        )
        .finally(() => this.searching.delete(address));
    }
    await this.configurationFound.wait(SEARCH_INTERVAL_MS);
  }

  /** Calls one daemon; follows it if it is the first with a configuration. */
  private async askCandidate(address: string): Promise<void> {
    const {view, call, logger} = this.options;
    const request = this.createRequest(INITIAL_POSITION, 0);
    const reply = await call(address, request, ANSWER_TIMEOUT_MS);
    const isFirst = view.routes === null;
    if (!isFirst || this.stopped.signal.aborted) return;
    view.apply(reply);
    if (view.routes === null) return;
    this.followed = address;
    this.position = readPosition(reply);
    const {fresh} = reply;
    logger.info('Follows a core daemon.', {address, fresh});
    this.configurationFound.notify();
  }

  private switchDaemon(address: string): void {
    this.followed = address;
    this.position = INITIAL_POSITION;
  }

  private async followOnce(address: string): Promise<void> {
    const {clock, logger} = this.options;
    const isFirst = this.position === INITIAL_POSITION;
    try {
      const fresh = await this.ask(address, isFirst ? 0 : HOLD_MS);
      if (isFirst) logger.info('Follows a core daemon.', {address, fresh});
      this.silentUntil.delete(address);
      if (fresh) {
        this.laggingUntil.delete(address);
        return;
      }
      this.laggingUntil.set(address, clock.monotonic() + AVOID_LAGGING_MS);
      await clock.sleep(LAG_RETRY_MS, this.stopped.signal);
    } catch (error) {
      if (this.stopped.signal.aborted) return;
      const reason = (error as Error).message;
      logger.warn('Stops following a core daemon: the call failed.', {
        address,
        reason,
      });
      this.silentUntil.set(address, clock.monotonic() + AVOID_SILENT_MS);
      this.followed = null;
      await clock.sleep(RETRY_DELAY_MS, this.stopped.signal);
    }
  }

  /** Makes one call; true when the daemon has contact with the leader. */
  private async ask(address: string, holdMs: number): Promise<boolean> {
    const {view, call} = this.options;
    const request = this.createRequest(this.position, holdMs);
    this.isReportDue = false;
    const reply = await call(address, request, holdMs + ANSWER_TIMEOUT_MS);
    if (this.stopped.signal.aborted) return reply.fresh;
    view.apply(reply);
    if (reply.epoch !== request.epoch) this.options.onEpoch?.();
    if (address === this.followed) this.position = readPosition(reply);
    return reply.fresh;
  }

  private createRequest(position: Position, holdMs: number): FollowRequest {
    const {view, createReport} = this.options;
    const report = createReport();
    const isBusy = report.loads.length > 0;
    const maxHoldMs = isBusy ? this.computeBusyHoldMs() : HOLD_MS;
    return {
      report,
      ...position,
      configurationRevision: view.revision,
      holdMs: this.isReportDue ? 0 : Math.min(holdMs, maxHoldMs),
    };
  }

  /** Shortened, since choices depend on the current loads of other gateways. */
  private computeBusyHoldMs(): number {
    const ms = this.options.view.gatewayCount * HOLD_MS_PER_GATEWAY;
    return Math.min(HOLD_MS, Math.max(BUSY_HOLD_MS, ms));
  }

  private listAddresses(): string[] {
    const {view, listSeeds} = this.options;
    const known = view.cores.map(({address}) => address);
    return [...new Set([...known, ...listSeeds()])];
  }

  /**
   * Chooses the followed daemon unless it is avoided, else the nearest. Those
   * that lag come after the others, and those that are silent come last.
   */
  private chooseDaemon(): string | null {
    const {view, region, dataCentre, random, clock} = this.options;
    const now = clock.monotonic();
    const coresByAddress = new Map(
      view.cores.map(core => [core.address, core]),
    );
    const addresses = this.listAddresses();
    const getLeftMs = (times: ReadonlyMap<string, number>, address: string) =>
      Math.max(0, (times.get(address) ?? -Infinity) - now);
    const {followed} = this;
    if (
      followed !== null &&
      addresses.includes(followed) &&
      getLeftMs(this.laggingUntil, followed) === 0 &&
      getLeftMs(this.silentUntil, followed) === 0
    ) {
      return followed;
    }
    const rank = (address: string) => {
      const core = coresByAddress.get(address);
      if (!core) return 3;
      if (core.dataCentre === dataCentre) return 0;
      return core.region === region ? 1 : 2;
    };
    const [best] = addresses
      .map(address => ({
        address,
        silentMs: getLeftMs(this.silentUntil, address),
        isSilent: view.isCoreSilent(address) ? 1 : 0,
        isLagging: getLeftMs(this.laggingUntil, address) > 0 ? 1 : 0,
        rank: rank(address) + random() * 0.9,
      }))
      .sort(
        (a, b) =>
          a.silentMs - b.silentMs ||
          a.isSilent - b.isSilent ||
          a.isLagging - b.isLagging ||
          a.rank - b.rank,
      );
    return best?.address ?? null;
  }
}
