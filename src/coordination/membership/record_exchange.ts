/**
 * Replicates endpoints' announcements between daemons.
 *
 * Changes are sent at once. Renewals are sent in batches, as short entries, and
 * only if no other daemon has relayed the endpoint in the meantime. Each peer
 * has its own sending task, so an unresponsive one does not delay the others.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Host} from '../../protocol/control.ts';
import type {
  Announcement,
  EndpointRecord,
  EndpointRenewal,
} from '../../protocol/endpoint.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';
import type {
  ExchangeReply,
  ExchangeRequest,
} from '../../protocol/peer_service.ts';
import {createSignal, type Signal} from '../signal.ts';
import type {EndpointTable} from './endpoint_table.ts';
import {
  FULL_MESH_HOSTS,
  rankByHash,
  REMOTE_ENDPOINTS,
  selectReceivers,
} from './select_receivers.ts';

/** How often renewals are sent. */
export const RENEWAL_INTERVAL_MS = 1_000;

/** A renewal is omitted if another daemon relayed one within this time. */
const RECENT_RELAY_MS = 900;

/** The delay before a peer that did not answer is called again. */
const RETRY_DELAY_MS = 200;

/** How long sending a change is retried; the lease expires after that. */
const RETRY_DURATION_MS = 3_000;

export interface RecordExchangeOptions {
  readonly clock: Clock;
  readonly own: Pick<Host, 'name' | 'dataCentre'>;
  readonly table: EndpointTable;
  readonly listHosts: () => readonly Host[];
  /** Sends to one daemon; a rejection counts as a missing answer. */
  readonly send: (
    host: Host,
    request: ExchangeRequest,
  ) => Promise<ExchangeReply>;
}

/** The queue of changes and renewals to send to one peer. */
class Outbox {
  readonly wake: Signal;
  /** The time until which to retry, by the endpoint's name. */
  readonly changes = new Map<string, number>();
  renewals = new Map<string, EndpointRenewal>();

  constructor(
    public host: Host,
    clock: Clock,
  ) {
    this.wake = createSignal(clock);
  }
}

/** Exchanges records with the other daemons. Dispose it to stop. */
export class RecordExchange implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly outboxes = new Map<string, Outbox>();
  private readonly tasks = new Set<Promise<void>>();
  /** The endpoints to renew at peers, collected since the last interval. */
  private readonly renewed = new Set<string>();

  constructor(private readonly options: RecordExchangeOptions) {}

  start(): void {
    this.track(this.runRenewals());
  }

  /** Records an endpoint's own announcement and replicates it. */
  announce(announcement: Announcement): Outcome<void, string> {
    const accepted = this.options.table.announce(announcement);
    if (!accepted.ok) return fail(accepted.error);
    const {record, isChange} = accepted.value;
    if (isChange) this.enqueueChange(record);
    else this.renewed.add(record.name);
    return succeed(undefined);
  }

  /** Merges the records and renewals that another daemon sent. */
  receive(request: ExchangeRequest): ExchangeReply {
    const {table, own} = this.options;
    const isRemote = request.dataCentre !== own.dataCentre;
    const forwards = isRemote && !this.isFullMesh();
    let accepted = 0;
    for (const record of request.records) {
      if (!table.merge(record)) continue;
      accepted++;
      if (forwards) this.enqueueChange(record, true);
    }
    const unknown: string[] = [];
    for (const renewal of request.renewals) {
      if (!table.renew(renewal)) unknown.push(renewal.name);
      else if (forwards) this.renewed.add(renewal.name);
    }
    return {accepted, unknown};
  }

  /** Queues the renewals collected since the last interval. */
  enqueueRenewals(): void {
    const {table} = this.options;
    const names = [...this.renewed];
    this.renewed.clear();
    for (const name of names) {
      const record = table.getRecord(name);
      if (!record) continue;
      const isRemote = record.dataCentre !== this.options.own.dataCentre;
      if (!isRemote && table.getRelayAgeMs(name) < RECENT_RELAY_MS) continue;
      const {incarnation, sequence, leaseMs, load} = record;
      const renewal = {name, incarnation, sequence, leaseMs, load};
      for (const outbox of this.selectOutboxes(record)) {
        outbox.renewals.set(name, renewal);
        outbox.wake.notify();
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    for (const outbox of this.outboxes.values()) outbox.wake.notify();
    await Promise.all(this.tasks);
  }

  private async runRenewals(): Promise<void> {
    const {clock} = this.options;
    while (!this.stopped.signal.aborted) {
      await clock.sleep(RENEWAL_INTERVAL_MS, this.stopped.signal);
      this.enqueueRenewals();
      this.closeOutboxes();
    }
  }

  private enqueueChange(record: EndpointRecord, localOnly = false): void {
    const deadline = this.options.clock.monotonic() + RETRY_DURATION_MS;
    for (const outbox of this.selectOutboxes(record, localOnly)) {
      outbox.changes.set(record.name, deadline);
      outbox.wake.notify();
    }
  }

  private selectOutboxes(record: EndpointRecord, localOnly = false): Outbox[] {
    const {own, listHosts} = this.options;
    const isLocalOnly = localOnly || record.dataCentre !== own.dataCentre;
    const isBeyondLimit = !record.leaving && this.isBeyondRemoteLimit(record);
    return selectReceivers(own, listHosts(), record.name)
      .filter(
        host =>
          host.dataCentre === own.dataCentre ||
          this.isFullMesh() ||
          !(isLocalOnly || isBeyondLimit),
      )
      .map(host => this.openOutbox(host));
  }

  private isFullMesh(): boolean {
    return this.options.listHosts().length <= FULL_MESH_HOSTS;
  }

  /** Whether other data centres receive enough other endpoints of the pool. */
  private isBeyondRemoteLimit(record: EndpointRecord): boolean {
    if (this.isFullMesh()) return false;
    const pool = this.options.table
      .list()
      .filter(
        each =>
          each.pool === record.pool && each.dataCentre === record.dataCentre,
      );
    if (pool.length <= REMOTE_ENDPOINTS) return false;
    return !rankByHash(record.pool, pool, each => each.name)
      .slice(0, REMOTE_ENDPOINTS)
      .some(each => each.name === record.name);
  }

  private openOutbox(host: Host): Outbox {
    const known = this.outboxes.get(host.name);
    if (known) {
      known.host = host;
      return known;
    }
    const outbox = new Outbox(host, this.options.clock);
    this.outboxes.set(host.name, outbox);
    this.track(this.servePeer(outbox));
    return outbox;
  }

  /** Ends the tasks of daemons that are no longer listed. */
  private closeOutboxes(): void {
    const names = new Set(this.options.listHosts().map(host => host.name));
    for (const [name, outbox] of this.outboxes) {
      if (names.has(name)) continue;
      this.outboxes.delete(name);
      outbox.wake.notify();
    }
  }

  private async servePeer(outbox: Outbox): Promise<void> {
    const isOpen = () =>
      !this.stopped.signal.aborted &&
      this.outboxes.get(outbox.host.name) === outbox;
    while (isOpen()) {
      if (outbox.changes.size + outbox.renewals.size === 0) {
        await outbox.wake.wait();
        continue;
      }
      const answered = await this.sendOnce(outbox);
      if (!answered) {
        await this.options.clock.sleep(RETRY_DELAY_MS, this.stopped.signal);
      }
    }
  }

  private async sendOnce(outbox: Outbox): Promise<boolean> {
    const {table, own, clock, send} = this.options;
    const changes = [...outbox.changes];
    const renewals = [...outbox.renewals.values()];
    outbox.changes.clear();
    outbox.renewals = new Map();
    const records = changes.flatMap(([name]) => table.getRecord(name) ?? []);
    if (records.length + renewals.length === 0) return true;
    try {
      const {dataCentre} = own;
      const request = {dataCentre, records, renewals};
      const reply = await send(outbox.host, request);
      const deadline = clock.monotonic() + RETRY_DURATION_MS;
      for (const name of reply.unknown) outbox.changes.set(name, deadline);
      return true;
    } catch {
      for (const [name, deadline] of changes) {
        const isExpired = clock.monotonic() >= deadline;
        if (!isExpired && !outbox.changes.has(name))
          outbox.changes.set(name, deadline);
      }
      return false;
    }
  }

  private track(task: Promise<void>): void {
    this.tasks.add(task);
    void task.finally(() => this.tasks.delete(task));
  }
}
