/**
 * Batches the lease renewals of nearby daemons at a replica of the control
 * group.
 *
 * The replica sends one message with many renewals to the leader, so that the
 * load on the leader and on slow links grows with the number of replicas and
 * not of daemons. Replies are long polls: a reply is delayed while nothing has
 * changed, and sent on the next pass after a change.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  ControlView,
  GrantReply,
  GrantRequest,
  HostsByName,
  LeaseReply,
  LeaseRequest,
} from '../../protocol/control.ts';
import {applyUpdate, DocumentHistory} from './document_history.ts';

/** Interval between batches sent to the leader. */
export const RELAY_INTERVAL_MS = 250;

/**
 * Interval between requests to the leader while none are queued but replies
 * are pending, so that host changes still reach the waiting daemons.
 */
const IDLE_INTERVAL_MS = 500;

/**
 * How long, beyond its own wait, a reply may wait for this replica to apply
 * the revision that the leader granted.
 */
const CATCH_UP_TIMEOUT_MS = 600;

export interface LeaseRelayOptions {
  readonly clock: Clock;
  /** Returns the configuration as applied by this replica. */
  readonly getView: () => ControlView;
  /** Returns the leader this replica knows of, or `null`. */
  readonly getLeader: () => string | null;
  /**
   * Sends a batch to the leader. A rejected promise is treated as no reply.
   */
  readonly grant: (
    leader: string,
    request: GrantRequest,
  ) => Promise<GrantReply>;
}

interface PendingRenewal {
  readonly request: LeaseRequest;
  readonly arrivedAt: number;
  readonly resolve: (reply: LeaseReply) => void;
}

interface GrantedRenewal extends PendingRenewal {
  readonly leaseMs: number;
  /** The revision that was committed when the lease was granted. */
  readonly revision: number;
}

/** Forwards renewals and replies to them. Dispose it to stop its task. */
export class LeaseRelay implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly views = new DocumentHistory<ControlView>();
  private readonly hosts = new DocumentHistory<HostsByName>();
  private queue: PendingRenewal[] = [];
  private held: GrantedRenewal[] = [];
  private hostsRevision = '';
  /**
   * The host description last sent to the leader, by host name. Unchanged
   * descriptions are omitted from later batches.
   */
  private readonly sentHosts = new Map<string, string>();
  private sentHostsTo: string | null = null;
  private lastGrantAt = -Infinity;
  private task: Promise<void> = Promise.resolve();

  constructor(private readonly options: LeaseRelayOptions) {}

  start(): void {
    this.task = this.run();
  }

  /**
   * Queues a renewal. Resolves after the leader has granted it, or with
   * `unavailable`.
   */
  renew(request: LeaseRequest): Promise<LeaseReply> {
    const arrivedAt = this.options.clock.monotonic();
    return new Promise(resolve => {
      this.queue.push({request, arrivedAt, resolve});
    });
  }

  /** Sends the queued renewals to the leader and processes its reply. */
  async forwardQueued(): Promise<void> {
    const {clock} = this.options;
    const isRecent = clock.monotonic() - this.lastGrantAt < IDLE_INTERVAL_MS;
    if (this.queue.length === 0 && (isRecent || this.held.length === 0)) return;
    const batch = this.queue.splice(0);
    const reply = await this.askLeader(batch);
    if (reply?.type !== 'granted') {
      for (const {resolve} of batch) resolve({type: 'unavailable'});
      return;
    }
    this.lastGrantAt = clock.monotonic();
    this.applyHosts(reply);
    const unknown = new Set(reply.unknown);
    for (const waiting of batch) {
      const {name} = waiting.request.host;
      if (unknown.has(name)) {
        this.sentHosts.delete(name);
        this.queue.push(waiting);
      } else {
        const {leaseMs, revision} = reply;
        this.held.push({...waiting, leaseMs, revision});
      }
    }
  }

  /**
   * Replies to each granted renewal for which there is an update or whose wait
   * has elapsed.
   */
  resolveGranted(): void {
    const {clock, getView} = this.options;
    const view = getView();
    this.views.record(view.revision, view);
    const now = clock.monotonic();
    this.held = this.held.filter(held => {
      const {request, resolve} = held;
      const age = now - held.arrivedAt;
      const isBehind =
        view.revision < held.revision || view.revision < request.revision;
      if (isBehind) {
        if (age < request.waitMs + CATCH_UP_TIMEOUT_MS) return true;
        resolve({type: 'unavailable'});
        return false;
      }
      const hasUpdate =
        view.revision !== request.revision ||
        this.hostsRevision !== request.hostsRevision;
      if (!hasUpdate && age < request.waitMs) return true;
      resolve(this.buildReply(held));
      return false;
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    const unresolved = [...this.queue.splice(0), ...this.held.splice(0)];
    for (const {resolve} of unresolved) resolve({type: 'unavailable'});
    await this.task;
  }

  private async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await this.forwardQueued();
      this.resolveGranted();
      await this.options.clock.sleep(RELAY_INTERVAL_MS, this.stopped.signal);
    }
  }

  private async askLeader(
    batch: readonly PendingRenewal[],
  ): Promise<GrantReply | null> {
    const leader = this.options.getLeader();
    if (leader === null) return null;
    if (leader !== this.sentHostsTo) this.sentHosts.clear();
    this.sentHostsTo = leader;
    const renewals = batch.map(({request: {host, incarnation, revision}}) => {
      const text = JSON.stringify([incarnation, host]);
      const isKnown = this.sentHosts.get(host.name) === text;
      this.sentHosts.set(host.name, text);
      const {name} = host;
      return {name, incarnation, revision, ...(isKnown ? {} : {host})};
    });
    const request = {renewals, hostsRevision: this.hostsRevision};
    try {
      return await this.options.grant(leader, request);
    } catch {
      this.sentHosts.clear();
      return null;
    }
  }

  private applyHosts(reply: Extract<GrantReply, {type: 'granted'}>): void {
    if (!reply.hosts) return;
    const known = this.hosts.current;
    const hosts = applyUpdate(known, this.hostsRevision, reply.hosts);
    if (!hosts) {
      // Causes the leader to send the whole document next time.
      this.hostsRevision = '';
      return;
    }
    this.hostsRevision = reply.hostsRevision;
    this.hosts.record(reply.hostsRevision, hosts);
  }

  private buildReply(held: GrantedRenewal): LeaseReply {
    const {request, leaseMs, revision} = held;
    return {
      type: 'granted',
      leaseMs,
      revision,
      view: this.views.describeUpdate(request.revision),
      hosts: this.hosts.describeUpdate(request.hostsRevision),
      hostsRevision: this.hostsRevision,
    };
  }
}
