/**
 * The configuration lease of this daemon: the configuration in force and the
 * time at which it expires.
 *
 * Expiry is checked against the monotonic clock each time work is accepted,
 * so a process that was suspended past its expiry accepts no work on resuming.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ControlView,
  Host,
  HostsByName,
  LeaseReply,
  LeaseRequest,
} from '../../protocol/control.ts';
import type {Logger} from '../../protocol/logger.ts';
import {applyUpdate} from './document_history.ts';
import {createIsolatedView} from './isolated_view.ts';
import {LONG_POLL_MS} from './lease_table.ts';

/** Delay after a renewal that changed the configuration or the hosts. */
const UPDATE_PAUSE_MS = 20;

/** Delay after a failed renewal. */
const RETRY_DELAY_MS = 150;

export interface ConfigurationLeaseOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly incarnation: string;
  readonly describeHost: () => Host;
  /**
   * Sends a renewal to a replica that can obtain a grant. A rejected promise
   * is treated as no reply.
   */
  readonly renew: (request: LeaseRequest) => Promise<LeaseReply>;
}

/**
 * Renews the lease of one daemon and applies the configuration updates that
 * the replies carry.
 */
export class ConfigurationLease implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private view: ControlView | null = null;
  /** The reduced view to use once the lease has expired. */
  private isolatedView: ControlView | null = null;
  private hosts: HostsByName = {};
  private hostsRevision = '';
  private expiresAt = -Infinity;
  private task: Promise<void> = Promise.resolve();

  constructor(private readonly options: ConfigurationLeaseOptions) {}

  /** Starts renewing in the background. */
  start(): void {
    this.task = this.run();
  }

  /**
   * Returns the configuration in force. After the lease has expired, returns
   * the view reduced to pools declared `serve_stable`, marked as isolated, or
   * `null` if there are none.
   */
  getView(): ControlView | null {
    return this.isHeld() ? this.view : this.isolatedView;
  }

  /** Whether the lease has not expired. */
  isHeld(): boolean {
    return this.options.clock.monotonic() < this.expiresAt;
  }

  /**
   * Lists the daemons that callers may use, as of the last update. A daemon
   * without a configuration to act on accepts no work, so it omits itself.
   */
  listHosts(): readonly Host[] {
    const hosts = Object.values(this.hosts);
    if (this.getView()) return hosts;
    const own = this.options.describeHost().name;
    return hosts.filter(host => host.name !== own);
  }

  /**
   * Sends one renewal.
   *
   * @param waitMs How long the replica may delay its reply while nothing has
   *     changed (long poll).
   * @return Whether the lease was granted.
   */
  async renewOnce(waitMs = 0): Promise<boolean> {
    const {clock, incarnation, renew, describeHost} = this.options;
    const sentAt = clock.monotonic();
    const reply = await renew({
      host: describeHost(),
      incarnation,
      revision: this.view?.revision ?? -1,
      hostsRevision: this.hostsRevision,
      waitMs,
    });
    if (reply.type !== 'granted') return false;
    this.applyView(reply);
    this.applyHosts(reply);
    // A late reply may carry a view older than the one in force, which was
    // ignored above. The grant is only valid for `reply.revision` or later, and
    // a patch that did not apply leaves an earlier view in force.
    if (!this.view || this.view.revision < reply.revision) return false;
    this.expiresAt = Math.max(this.expiresAt, sentAt + reply.leaseMs);
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.task;
  }

  private applyView(reply: Extract<LeaseReply, {type: 'granted'}>): void {
    if (!reply.view) return;
    const known = this.view?.revision ?? -1;
    const view = applyUpdate(this.view, known, reply.view);
    if (!view || view.revision <= known) return;
    this.view = view;
    this.isolatedView = createIsolatedView(view);
    this.options.logger.info('Applies a new configuration.', {
      revision: view.revision,
      version: view.declaration?.version,
    });
  }

  private applyHosts(reply: Extract<LeaseReply, {type: 'granted'}>): void {
    if (!reply.hosts) return;
    const hosts = applyUpdate(this.hosts, this.hostsRevision, reply.hosts);
    if (!hosts) return;
    this.hosts = hosts;
    this.hostsRevision = reply.hostsRevision;
  }

  private async run(): Promise<void> {
    const {clock} = this.options;
    let held = false;
    while (!this.stopped.signal.aborted) {
      const revisionsBefore = this.formatRevisions();
      const startedAt = clock.monotonic();
      const granted = await this.tryRenew();
      if (this.isHeld() !== held) this.logChange((held = !held));
      const isUpdated = this.formatRevisions() !== revisionsBefore;
      const elapsed = clock.monotonic() - startedAt;
      // After an update, renews again soon: the next renewal is what reports
      // the new revision to the leader.
      const pauseMs = !granted
        ? RETRY_DELAY_MS
        : isUpdated
          ? UPDATE_PAUSE_MS
          : Math.max(UPDATE_PAUSE_MS, LONG_POLL_MS - elapsed);
      await clock.sleep(pauseMs, this.stopped.signal);
    }
  }

  private async tryRenew(): Promise<boolean> {
    try {
      return await this.renewOnce(this.isHeld() ? LONG_POLL_MS : 0);
    } catch (error) {
      this.options.logger.debug('Could not renew the configuration lease.', {
        reason: (error as Error).message,
      });
      return false;
    }
  }

  private formatRevisions(): string {
    return `${this.view?.revision} ${this.hostsRevision}`;
  }

  private logChange(held: boolean): void {
    const {logger} = this.options;
    if (held) logger.info('Acquires the configuration lease.');
    else logger.warn('Loses the configuration lease: no renewal in time.');
  }
}
