/**
 * The gateway's task that follows one core daemon by long polls.
 *
 * It switches to another one when a daemon does not answer in time or has no
 * contact with the leader; the late answer still counts. One that works is left once
 * the next one has answered. A gateway without a configuration serves no requests, so
 * it calls all daemons at once: after an outage some are not running yet, and some
 * have lost their state.
 */
import type {FollowReply, FollowRequest} from '../../protocol/core_service.ts';
import type {Logger} from '../../protocol/logger.ts';
import {createNotifier, type Notifier} from '../notifier.ts';
import {
  INITIAL_POSITION,
  readPosition,
  type FollowPosition,
} from './follow_position.ts';
import {CoreChoice, type CoreChoiceOptions} from './core_choice.ts';
import {
  ReportDifferences,
  type ReportDifferencesOptions,
} from './report_differences.ts';

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

/**
 * How much longer than its hold a call may take until another daemon is called
 * beside it, and how long the first call to a daemon, which returns whole lists.
 */
const SLOW_MS = 250;
const FIRST_SLOW_MS = 600;

/** How long observations are gathered for a report of their own. */
const REPORT_DELAY_MS = 10;

/** How often daemons without an open call are called during the search. */
const SEARCH_INTERVAL_MS = 150;

/** The delay after a call to a daemon that lags, in case all others do. */
const LAG_RETRY_MS = 200;

/**
 * How long the search waits for a daemon with contact to the leader before it
 * takes the configuration of another one.
 */
const SEARCH_MS = 600;

/** How long the search waits for further answers: a far round trip, and more. */
const SEARCH_ANSWERS_MS = 100;

export interface CoreFollowerOptions
  extends CoreChoiceOptions, ReportDifferencesOptions {
  readonly logger: Logger;
  /** Identifies this run of the gateway. */
  readonly run: string;
  /** Called when a daemon in contact with the leader answers a call. */
  readonly onConfirmed?: (sentAt: number) => void;
  readonly call: (
    address: string,
    request: FollowRequest,
    timeoutMs: number,
  ) => Promise<FollowReply>;
}

interface AnsweredCall {
  readonly request: FollowRequest;
  readonly reply: FollowReply;
  readonly sentAt: number;
}

/** Follows the core until it is disposed. */
export class CoreFollower implements Disposable {
  private readonly stopped = new AbortController();
  private readonly choice: CoreChoice;
  private readonly reports: ReportDifferences;
  private isStarted = false;
  private isReportPlanned = false;
  /** The last changes received from the followed daemon. */
  private position: FollowPosition = INITIAL_POSITION;
  private followed: string | null = null;
  /** Whether the next call must not be held, to report a change at once. */
  private isReportDue = false;
  /** Daemons with an open call of the search for a configuration. */
  private readonly searching = new Set<string>();
  private readonly configurationFound: Notifier;
  /** A configuration of the search that no leader confirmed. */
  private unconfirmed: FollowReply | null = null;
  private startedAt = 0;
  /** The wait for the answer of the followed daemon, which a move ends. */
  private answerWait = new AbortController();

  constructor(private readonly options: CoreFollowerOptions) {
    this.choice = new CoreChoice(options);
    this.reports = new ReportDifferences(options);
    this.configurationFound = createNotifier(options.clock);
  }

  start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    this.startedAt = this.options.clock.monotonic();
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

  /** Asks for changes at once; true if a daemon in contact with the leader answers. */
  async askNow(): Promise<boolean> {
    const followed = this.choice.choose(this.followed);
    return followed !== null && (await this.ask(followed, 0));
  }

  /** Reports the gateway's state to the core at once. */
  async reportOnce(): Promise<void> {
    this.isReportDue = true;
    const address = this.followed ?? this.choice.choose(null);
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

  /** Reports that this gateway has stopped: no change waits for it any more. */
  async leave(): Promise<void> {
    const {followed} = this;
    if (followed !== null) await this.confirmTo(followed);
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
      const address = this.choice.choose(this.followed);
      if (address === null) {
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      const {followed} = this;
      const isMove = followed !== null && address !== followed;
      if (isMove && this.choice.canStay(followed)) {
        // Daemons of earlier versions count only the last call of a gateway.
        void this.tryDaemon(address);
        await this.followOnce(followed);
        continue;
      }
      if (address !== followed) {
        this.followed = address;
        this.position = INITIAL_POSITION;
      }
      await this.followOnce(address);
    }
  }

  /**
   * Calls all daemons at once, until one has a configuration that its leader
   * confirmed, or for a while until one has any.
   */
  private async searchDaemons(): Promise<void> {
    const {logger, clock, view} = this.options;
    const searchedMs = clock.monotonic() - this.startedAt;
    if (this.unconfirmed && searchedMs >= SEARCH_MS) {
      view.apply(this.unconfirmed);
      return;
    }
    for (const address of this.choice.listAddresses()) {
      if (this.searching.has(address)) continue;
      this.searching.add(address);
      void this.askCandidate(address)
        .catch(({message: reason}: Error) => {
          const message = 'Could not request the configuration.';
          logger.info(message, {address, reason});
          this.choice.recordFailure(address);
        })
        .finally(() => this.searching.delete(address));
    }
    await this.configurationFound.wait(SEARCH_INTERVAL_MS);
    if (view.routes === null) return;
    // Most daemons have answered by then, so that the nearest can be chosen.
    await clock.sleep(SEARCH_ANSWERS_MS, this.stopped.signal);
    for (const address of this.searching) this.choice.recordSlow(address);
  }

  /** Calls one daemon and takes its configuration if it is the first. */
  private async askCandidate(address: string): Promise<void> {
    const {view, call, clock, onConfirmed} = this.options;
    const sentAt = clock.monotonic();
    const request = this.createRequest(INITIAL_POSITION, 0);
    const reply = await call(address, request, ANSWER_TIMEOUT_MS);
    this.choice.recordAnswer(address, reply.fresh);
    if (view.routes !== null || this.stopped.signal.aborted) return;
    const document = reply.configuration?.document ?? null;
    if (!reply.fresh && document !== null) {
      const getRevision = (known: FollowReply | null) =>
        known?.configuration?.revision ?? -1;
      if (getRevision(reply) > getRevision(this.unconfirmed)) {
        this.unconfirmed = reply;
      }
      return;
    }
    // Which daemon to follow is chosen once the view lists them all.
    view.apply(reply);
    if (reply.fresh) onConfirmed?.(sentAt);
    if (view.routes !== null) this.configurationFound.notify();
  }

  /** Calls a better daemon, and leaves the followed one once that answers. */
  private async tryDaemon(address: string): Promise<void> {
    const {clock, call, logger} = this.options;
    const {followed} = this;
    const recordStay = (reason: string) =>
      logger.info('Stays with a core daemon.', {followed, address, reason});
    const request = this.createRequest(INITIAL_POSITION, 0);
    const sentAt = clock.monotonic();
    try {
      const reply = await call(address, request, ANSWER_TIMEOUT_MS);
      if (this.stopped.signal.aborted) return;
      this.choice.recordAnswer(address, reply.fresh);
      const hasChanged = this.followed !== followed && this.followed !== null;
      if (hasChanged) return;
      if (!reply.fresh) return recordStay('the next one lags');
      if (this.followed !== null) void this.confirmTo(this.followed);
      logger.info('Moves to another core daemon.', {from: followed, address});
      this.takeReply(address, {request, reply, sentAt});
      this.answerWait.abort('moved');
    } catch (error) {
      if (this.stopped.signal.aborted) return;
      recordStay((error as Error).message);
      this.choice.recordFailure(address);
    }
  }

  /**
   * Confirms the last reply to a daemon that is left. It would wait for that until
   * it takes the gateway for out of contact.
   */
  private async confirmTo(address: string): Promise<void> {
    const {view, call, logger} = this.options;
    const request = {...this.createRequest(this.position, 0), leaves: true};
    try {
      const reply = await call(address, request, ANSWER_TIMEOUT_MS);
      view.apply({...reply, complete: false});
    } catch (error) {
      const {message: reason} = error as Error;
      const message = 'Could not confirm to the core daemon that was left.';
      logger.info(message, {address, reason});
    }
  }

  /** Makes one call, or leaves it behind when its reply is late. */
  private async followOnce(address: string): Promise<void> {
    const {clock, logger} = this.options;
    const isFirst = this.position === INITIAL_POSITION;
    const request = this.createRequest(this.position, isFirst ? 0 : HOLD_MS);
    const answered = new AbortController();
    const isFresh = this.send(address, request)
      .then(fresh => {
        if (isFirst) logger.info('Follows a core daemon.', {address, fresh});
        this.choice.recordAnswer(address, fresh);
        return fresh;
      })
      .catch((error: Error) => this.handleFailure(address, error))
      .finally(() => answered.abort('answered'));
    this.answerWait = answered;
    const slowMs = request.holdMs + (isFirst ? FIRST_SLOW_MS : SLOW_MS);
    const isLate = clock
      .sleep(slowMs, answered.signal)
      .then(() => !answered.signal.aborted);
    if (await Promise.race([isLate, isFresh.then(() => false)])) {
      if (this.stopped.signal.aborted) return;
      logger.info('Calls another core daemon: the answer is late.', {
        address,
        waitedMs: slowMs,
      });
      this.choice.recordSlow(address);
      return;
    }
    if (answered.signal.reason === 'moved') return;
    const outcome = await isFresh;
    if (outcome === true || this.stopped.signal.aborted) return;
    const delayMs = outcome === false ? LAG_RETRY_MS : RETRY_DELAY_MS;
    await clock.sleep(delayMs, this.stopped.signal);
  }

  private handleFailure(address: string, {message: reason}: Error): null {
    if (this.stopped.signal.aborted) return null;
    const message = 'Stops following a core daemon: the call failed.';
    this.options.logger.warn(message, {address, reason});
    this.choice.recordFailure(address);
    if (this.followed === address) this.followed = null;
    return null;
  }

  /** Makes one call; true when the daemon has contact with the leader. */
  private async ask(address: string, holdMs: number): Promise<boolean> {
    return this.send(address, this.createRequest(this.position, holdMs));
  }

  private async send(
    address: string,
    request: FollowRequest,
  ): Promise<boolean> {
    const {view, call, clock, onConfirmed} = this.options;
    this.isReportDue = false;
    const sentAt = clock.monotonic();
    const timeoutMs = request.holdMs + ANSWER_TIMEOUT_MS;
    const reply = await call(address, request, timeoutMs).catch(error => {
      this.reports.recordFailure();
      throw error;
    });
    if (this.stopped.signal.aborted) return reply.fresh;
    // A late reply with whole lists is worth more than another daemon's.
    const isAwaited = this.position === INITIAL_POSITION && reply.complete;
    const isLate = address !== this.followed && !isAwaited;
    if (isLate) {
      // What a late list lacks may have been learned from another daemon since.
      view.apply({...reply, complete: false});
      if (reply.fresh) onConfirmed?.(sentAt);
    } else {
      this.takeReply(address, {request, reply, sentAt});
    }
    return reply.fresh;
  }

  /** Follows a daemon from its reply on. */
  private takeReply(
    address: string,
    {request, reply, sentAt}: AnsweredCall,
  ): void {
    const {view, onConfirmed} = this.options;
    view.apply(reply);
    if (reply.fresh) onConfirmed?.(sentAt);
    this.reports.recordReply(request, reply);
    this.followed = address;
    this.position = readPosition(reply);
  }

  private createRequest(
    position: FollowPosition,
    holdMs: number,
  ): FollowRequest {
    const {view, run} = this.options;
    const {report, isBusy} = this.reports.create(position.epoch);
    const maxHoldMs = isBusy ? this.computeBusyHoldMs() : HOLD_MS;
    return {
      report,
      run,
      ...position,
      configurationRevision: view.revision,
      configurationVersion: view.version ?? undefined,
      holdMs: this.isReportDue ? 0 : Math.min(holdMs, maxHoldMs),
    };
  }

  /** Shortened, since choices depend on the current loads of other gateways. */
  private computeBusyHoldMs(): number {
    const ms = this.options.view.gatewayCount * HOLD_MS_PER_GATEWAY;
    return Math.min(HOLD_MS, Math.max(BUSY_HOLD_MS, ms));
  }
}
