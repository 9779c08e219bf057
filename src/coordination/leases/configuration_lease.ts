/**
 * A daemon's own configuration lease: what is in force here, and until when.
 *
 * The lease is checked where work is taken, on the monotonic clock, so that a
 * process that was frozen takes nothing on a lease that ran out meanwhile.
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

/** The pause after a renewal that brought news. */
const UPDATE_PAUSE_MS = 20;

/** The pause after a renewal that failed. */
const RETRY_DELAY_MS = 150;

export interface ConfigurationLeaseOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly incarnation: string;
  readonly describeHost: () => Host;
  /** Asks whoever can grant a lease; a rejection counts as silence. */
  readonly renew: (request: LeaseRequest) => Promise<LeaseReply>;
}

/** Keeps the configuration of one daemon current. */
export class ConfigurationLease implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private view: ControlView | null = null;
  /** What is left of the view when the lease has run out. */
  private isolatedView: ControlView | null = null;
  private hosts: HostsByName = {};
  private hostsRevision = '';
  private expiresAt = -Infinity;
  private task: Promise<void> = Promise.resolve();

  constructor(private readonly options: ConfigurationLeaseOptions) {}

  /** Starts to renew. */
  start(): void {
    this.task = this.run();
  }

  /**
   * The configuration to act on. When the lease has run out, what the pools
   * declare for that case, marked as isolated, or `null`.
   */
  getView(): ControlView | null {
    return this.isHeld() ? this.view : this.isolatedView;
  }

  /** Whether the lease holds now. */
  isHeld(): boolean {
    return this.options.clock.monotonic() < this.expiresAt;
  }

  /**
   * The daemons that callers may use, as last learnt. A daemon without a
   * lease takes no work and leaves itself out.
   */
  listHosts(): readonly Host[] {
    const hosts = Object.values(this.hosts);
    if (this.getView()) return hosts;
    const own = this.options.describeHost().name;
    return hosts.filter(host => host.name !== own);
  }

  /**
   * Renews once, now.
   *
   * @param waitMs How long the answer may be held back without news.
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
    // A late answer may carry a view that is older than the one in force.
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
    this.options.logger.info('Takes a configuration into force.', {
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
      // A changed revision is acknowledged at once.
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
    if (held) logger.info('Holds the configuration lease.');
    else logger.warn('Lost the configuration lease.');
  }
}
