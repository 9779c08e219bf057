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
  LeaseReply,
  LeaseRequest,
} from '../../protocol/control.ts';
import type {Logger} from '../../protocol/logger.ts';
import {RENEW_INTERVAL_MS} from './lease_table.ts';

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
  private hosts: Host[] = [];
  private hostsRevision = '';
  private expiresAt = -Infinity;
  private task: Promise<void> = Promise.resolve();

  constructor(private readonly options: ConfigurationLeaseOptions) {}

  /** Starts to renew. */
  start(): void {
    this.task = this.run();
  }

  /** The configuration to act on, or `null` when the lease has run out. */
  getView(): ControlView | null {
    if (this.options.clock.monotonic() >= this.expiresAt) return null;
    return this.view;
  }

  /** The daemons that callers may use, as last learnt. */
  listHosts(): readonly Host[] {
    return this.hosts;
  }

  /** Renews once, now. */
  async renewOnce(): Promise<void> {
    const {clock, options} = {clock: this.options.clock, options: this.options};
    const sentAt = clock.monotonic();
    const reply = await options.renew({
      host: options.describeHost(),
      incarnation: options.incarnation,
      revision: this.view?.revision ?? -1,
      hostsRevision: this.hostsRevision,
    });
    if (reply.type !== 'granted') return;
    if (reply.view && reply.view.revision >= (this.view?.revision ?? 0)) {
      if (reply.view.revision !== this.view?.revision) {
        options.logger.info('Takes a configuration into force.', {
          revision: reply.view.revision,
          version: reply.view.declaration?.version,
        });
      }
      this.view = reply.view;
    }
    if (reply.hosts) this.hosts = reply.hosts;
    this.hostsRevision = reply.hostsRevision;
    this.expiresAt = Math.max(this.expiresAt, sentAt + reply.leaseMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {clock, logger} = this.options;
    while (!this.stopped.signal.aborted) {
      const before = this.view?.revision ?? 0;
      try {
        await this.renewOnce();
      } catch (error) {
        logger.warn('Could not renew the configuration lease.', {
          reason: (error as Error).message,
        });
      }
      const moved = (this.view?.revision ?? 0) !== before;
      // A changed revision is acknowledged at once.
      if (!moved) await clock.sleep(RENEW_INTERVAL_MS, this.stopped.signal);
    }
  }
}
