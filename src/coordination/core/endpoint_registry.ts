/**
 * The endpoints that one core daemon knows from their heartbeats.
 *
 * Reports may arrive late, twice and through several daemons. They are ordered
 * by the start time of the endpoint and then by sequence number, so a report of
 * an earlier start never replaces a later one, even if another endpoint has
 * taken over the address.
 */
import {listRunningStarts} from '../quarantine/endpoint_ends.ts';
import type {Clock} from '../../protocol/clock.ts';
import type {LeavingEndpoint, ReportAge} from '../../protocol/core_service.ts';
import type {
  EndpointEntry,
  EndpointReport,
} from '../../protocol/endpoint_report.ts';

/** Three heartbeat intervals of 1.2 s, and 1.4 s for late delivery. */
const SILENT_AFTER_MS = 5_000;

/** How long an endpoint that is gone or silent is retained. */
const EXPIRE_AFTER_MS = 60_000;

/**
 * How much later than gateways were told a cold start may end without a change.
 * Each heartbeat of a cold endpoint tells its end anew, and is delayed differently.
 */
const COLD_TOLERANCE_MS = 250;

export interface EndpointRegistryOptions {
  readonly clock: Clock;
  /** The time without a report until it counts as silent, in ms; 5,000. */
  readonly silentAfterMs?: number;
  /** The time without a report until it is removed, in ms; 60,000. */
  readonly expireAfterMs?: number;
}

interface KnownEndpoint {
  entry: EndpointEntry;
  receivedAt: number;
  /** The revision of the registry at which the entry last changed. */
  changedAt: number;
  /** Whether it comes from the disk, and has not been heard of since. */
  isRestored: boolean;
  /** When its cold start ends as gateways were told, on the monotonic clock. */
  readonly toldColdUntil: number;
}

/** How the registry handled a report. */
export type ReportOutcome = 'ignored' | 'renewed' | 'changed';

export class EndpointRegistry {
  private readonly known = new Map<string, KnownEndpoint>();
  /** The ids of the endpoints that are not gone, by address. */
  private readonly holders = new Map<string, Set<string>>();
  private lastRevision = 0;

  constructor(private readonly options: EndpointRegistryOptions) {}

  private get silentAfterMs(): number {
    return this.options.silentAfterMs ?? SILENT_AFTER_MS;
  }

  /** Increases with each change that gateways need to know. */
  get revision(): number {
    return this.lastRevision;
  }

  /**
   * Records a report unless a newer one of the endpoint is known.
   *
   * @param ageMs The time since the endpoint sent it, if another daemon relays
   *     it later.
   */
  record(report: EndpointReport, ageMs = 0): ReportOutcome {
    const known = this.known.get(report.id);
    if (known && !isNewer(report, known.entry)) return 'ignored';
    const isSameStart = known?.entry.startedAtMs === report.startedAtMs;
    const next = isSameStart ? keepShutdownState(report, known.entry) : report;
    const holder = this.findAddressHolder(report);
    if (holder && holder.entry.startedAtMs > report.startedAtMs) {
      return 'ignored';
    }
    if (holder && holder.entry.state !== 'gone') {
      this.updateEntry(holder, {...holder.entry, state: 'gone'});
    }
    const receivedAt = this.options.clock.monotonic() - ageMs;
    const silent = ageMs > this.silentAfterMs;
    const isHeardAgain =
      isSameStart && known.entry.silent && !known.isRestored && !silent;
    const entry: EndpointEntry = {
      ...next,
      silent,
      ...(isHeardAgain ? {unconfirmed: true} : {}),
    };
    const coldUntil = receivedAt + report.warmupMs;
    if (
      known &&
      isSame(entry, known.entry) &&
      !this.hasColdChanged(coldUntil, known)
    ) {
      known.entry = entry;
      known.receivedAt = receivedAt;
      known.isRestored = false;
      return 'renewed';
    }
    this.replaceEntry(entry, {receivedAt, isRestored: false});
    return 'changed';
  }

  /**
   * Marks an endpoint as draining because a gateway received its shutdown
   * notice; returns whether that changed its state. Later reports of `ready`
   * from the same start are overridden.
   */
  recordLeaving({id, startedAtMs}: LeavingEndpoint): boolean {
    const known = this.known.get(id);
    if (!known || known.entry.startedAtMs !== startedAtMs) return false;
    if (known.entry.state !== 'ready') return false;
    this.updateEntry(known, {...known.entry, state: 'draining'});
    return true;
  }

  /**
   * Marks endpoints that may have become cold unnoticed; each one counts as cold at
   * gateways until its next report. Returns whether there are any.
   */
  requireReports(isConcerned: (entry: EndpointEntry) => boolean): boolean {
    const concerned = [...this.known.values()].filter(
      ({entry}) => !entry.silent && !entry.unconfirmed && isConcerned(entry),
    );
    for (const known of concerned) {
      this.updateEntry(known, {...known.entry, unconfirmed: true});
    }
    return concerned.length > 0;
  }

  /**
   * Restores saved reports after a restart, as silent endpoints; those of one
   * endpoint may be restored in any order.
   */
  restore(reports: readonly EndpointReport[]): void {
    const receivedAt = this.options.clock.monotonic();
    for (const report of reports) {
      const known = this.find(report.id);
      if (known && !isNewer(report, known)) continue;
      const isSameStart = known?.startedAtMs === report.startedAtMs;
      const next = isSameStart ? keepShutdownState(report, known) : report;
      const entry = {...next, silent: true};
      this.replaceEntry(entry, {receivedAt, isRestored: true});
    }
  }

  find(id: string): EndpointEntry | null {
    return this.known.get(id)?.entry ?? null;
  }

  /** The revision at which an endpoint last changed; 0 if it is unknown. */
  getRevision(id: string): number {
    return this.known.get(id)?.changedAt ?? 0;
  }

  /** The time since the last report of an endpoint, in ms. */
  getAgeMs(id: string): number {
    const {receivedAt = -Infinity} = this.known.get(id) ?? {};
    return this.options.clock.monotonic() - receivedAt;
  }

  /**
   * Lists the entries that changed after a revision; all by default. Their cold time
   * is the one that remains now.
   */
  list(after = 0): EndpointEntry[] {
    const now = this.options.clock.monotonic();
    return [...this.known.values()]
      .filter(({changedAt}) => changedAt > after)
      .map(({entry, receivedAt}) => {
        if (entry.warmupMs === 0) return entry;
        const warmupMs = Math.max(0, receivedAt + entry.warmupMs - now);
        return {...entry, warmupMs};
      });
  }

  /** Lists the starts of a service's endpoints that are taken to run. */
  listStarts(service: string): string[] {
    return listRunningStarts(this.list(), service);
  }

  /**
   * Lists the last reports to send to other daemons. Endpoints that are only known
   * from the disk do not belong to them, unless they leave: the others may have
   * forgotten that such an endpoint has left.
   */
  listReports(): EndpointReport[] {
    return [...this.known.values()]
      .filter(({entry, isRestored}) => !isRestored || entry.state !== 'ready')
      .map(({entry}) => dropSilentFlag(entry));
  }

  /** Lists the last reports to save for a restart. */
  listSavedReports(): EndpointReport[] {
    return this.list().map(dropSilentFlag);
  }

  /** Lists the ages of the last reports of some endpoints. */
  listReportAges(ids: readonly string[]): ReportAge[] {
    const now = this.options.clock.monotonic();
    return ids.map(id => ({
      id,
      ageMs: now - (this.known.get(id)?.receivedAt ?? now),
    }));
  }

  /**
   * Marks endpoints without recent reports as silent; removes expired ones, and those
   * from the disk that do not report.
   */
  sweep(): void {
    const {silentAfterMs} = this;
    const {expireAfterMs = EXPIRE_AFTER_MS} = this.options;
    const now = this.options.clock.monotonic();
    for (const [id, known] of this.known) {
      const silentMs = now - known.receivedAt;
      const {isRestored, entry} = known;
      const isUnheard = isRestored && entry.state === 'ready';
      const retainMs = isUnheard ? silentAfterMs : expireAfterMs;
      if (silentMs > retainMs) {
        this.removeHolder(entry);
        this.known.delete(id);
      } else if (silentMs > silentAfterMs && !entry.silent) {
        this.updateEntry(known, {...entry, silent: true});
      }
    }
  }

  /** Finds another endpoint, not gone, at the address of a report. */
  private findAddressHolder({
    id,
    address,
  }: EndpointReport): KnownEndpoint | undefined {
    for (const holder of this.holders.get(address) ?? []) {
      if (holder !== id) return this.known.get(holder);
    }
    return undefined;
  }

  /** Whether gateways need to know when the cold start of an endpoint ends. */
  private hasColdChanged(
    coldUntil: number,
    {toldColdUntil}: KnownEndpoint,
  ): boolean {
    const now = this.options.clock.monotonic();
    const isWarm = coldUntil <= now;
    if (isWarm) return toldColdUntil > now + COLD_TOLERANCE_MS;
    // One that was told to be warm for a while has become cold again.
    return (
      coldUntil > toldColdUntil + COLD_TOLERANCE_MS ||
      toldColdUntil + COLD_TOLERANCE_MS < now
    );
  }

  private updateEntry(known: KnownEndpoint, entry: EndpointEntry): void {
    this.replaceEntry(entry, known);
  }

  private replaceEntry(
    entry: EndpointEntry,
    {receivedAt, isRestored}: Pick<KnownEndpoint, 'receivedAt' | 'isRestored'>,
  ): void {
    const {id, address, state} = entry;
    const earlier = this.known.get(id);
    if (earlier) this.removeHolder(earlier.entry);
    const changedAt = ++this.lastRevision;
    const toldColdUntil = receivedAt + entry.warmupMs;
    this.known.set(id, {
      entry,
      receivedAt,
      changedAt,
      isRestored,
      toldColdUntil,
    });
    if (state === 'gone') return;
    const ids = this.holders.get(address) ?? new Set();
    this.holders.set(address, ids.add(id));
  }

  private removeHolder({id, address}: EndpointEntry): void {
    const ids = this.holders.get(address);
    ids?.delete(id);
    if (ids?.size === 0) this.holders.delete(address);
  }
}

/** Returns the endpoint's report without the state derived from its silence. */
export function dropSilentFlag({
  silent: _silent,
  unconfirmed: _unconfirmed,
  ...report
}: EndpointEntry): EndpointReport {
  return report;
}

/** Whether a report is newer than the known one of the same endpoint. */
export function isNewer(
  report: Pick<EndpointReport, 'startedAtMs' | 'sequence' | 'state'>,
  known: EndpointReport,
): boolean {
  if (report.startedAtMs !== known.startedAtMs) {
    return report.startedAtMs > known.startedAtMs;
  }
  // A deregistration has no sequence number of its own.
  if (report.state === 'gone') return known.state !== 'gone';
  return report.sequence > known.sequence;
}

/** Keeps `draining` and `gone` final within one start of an endpoint. */
function keepShutdownState(
  report: EndpointReport,
  known: EndpointReport,
): EndpointReport {
  if (known.state === 'gone') return {...report, state: 'gone'};
  if (known.state === 'draining' && report.state === 'ready') {
    return {...report, state: 'draining'};
  }
  return report;
}

function isSame(a: EndpointEntry, b: EndpointEntry): boolean {
  return (
    a.startedAtMs === b.startedAtMs &&
    a.state === b.state &&
    a.silent === b.silent &&
    a.unconfirmed === b.unconfirmed &&
    a.address === b.address &&
    a.service === b.service &&
    a.version === b.version &&
    a.slots === b.slots &&
    a.dataCentre === b.dataCentre
  );
}
