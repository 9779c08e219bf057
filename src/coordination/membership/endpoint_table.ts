/**
 * The endpoints that a daemon knows, each under a lease.
 *
 * A name belongs to the process that announced it until that process shuts
 * down, its lease expires, or another process announces the name at the same
 * address (the first can then no longer listen there). A late record of an
 * earlier process is recognized by its lease, which ends before that of the
 * later one.
 */
import type {Clock} from '../../protocol/clock.ts';
import {
  ENDPOINT_LEASE_MS,
  type Announcement,
  type EndpointRecord,
  type EndpointRenewal,
} from '../../protocol/endpoint.ts';
import {fail, succeed, type Outcome} from '../../protocol/outcome.ts';

/** An endpoint as routing decisions use it. */
export interface Endpoint extends Announcement {
  /** The number of requests of this daemon in flight there. */
  inFlight: number;
  /** When the last reported load was measured, on the monotonic clock. */
  loadTakenAt: number;
}

interface Entry {
  endpoint: Endpoint;
  sequence: number;
  expiresAt: number;
  /** When another daemon last relayed the endpoint. */
  relayedAt: number;
}

/** An announcement that the table accepted. */
export interface AcceptedAnnouncement {
  readonly record: EndpointRecord;
  /** False when it only renews the lease and reports the load. */
  readonly isChange: boolean;
}

/** Holds announcements until their lease expires. */
export class EndpointTable {
  private readonly entries = new Map<string, Entry>();
  private nextSequence = 1;

  constructor(private readonly clock: Clock) {}

  /** Records an announcement that an endpoint sent to this daemon. */
  announce(announcement: Announcement): Outcome<AcceptedAnnouncement, string> {
    const {name} = announcement;
    const known = this.entries.get(name);
    if (known && this.isNameTaken(known, announcement)) {
      return fail(`the name "${name}" is in use at another address`);
    }
    const isChange = !known || hasChanged(known.endpoint, announcement);
    const sequence = Math.max(known?.sequence ?? 0, this.nextSequence) + 1;
    this.nextSequence = sequence;
    const record = {...announcement, sequence, leaseMs: ENDPOINT_LEASE_MS};
    this.store(record, known?.relayedAt ?? -Infinity);
    return succeed({record, isChange});
  }

  /** Merges a record from another daemon; returns whether it is a change. */
  merge(record: EndpointRecord): boolean {
    const now = this.clock.monotonic();
    const known = this.entries.get(record.name);
    if (!known || known.expiresAt <= now) {
      this.store(record, now);
      return true;
    }
    if (known.endpoint.incarnation !== record.incarnation) {
      const isLater = now + record.leaseMs > known.expiresAt;
      if (!isLater || this.isNameTaken(known, record)) return false;
      this.store(record, now);
      return true;
    }
    const isNewlyLeaving = record.leaving && !known.endpoint.leaving;
    const isChange = isNewlyLeaving || hasChanged(known.endpoint, record);
    if (known.sequence >= record.sequence) {
      if (isNewlyLeaving) known.endpoint.leaving = true;
      this.extend(known, record.leaseMs);
      return isNewlyLeaving;
    }
    this.store(record, now);
    return isChange;
  }

  /** Extends the lease of a known process; false when it is unknown. */
  renew(renewal: EndpointRenewal): boolean {
    const known = this.entries.get(renewal.name);
    const now = this.clock.monotonic();
    if (!known || known.expiresAt <= now) return false;
    if (known.endpoint.incarnation !== renewal.incarnation) return false;
    this.extend(known, renewal.leaseMs);
    if (renewal.sequence <= known.sequence) return true;
    known.sequence = renewal.sequence;
    if (renewal.load) {
      known.endpoint.load = renewal.load;
      known.endpoint.loadTakenAt = now - renewal.load.ageMs;
    }
    return true;
  }

  /** Lists the endpoints whose lease is valid. */
  list(): Endpoint[] {
    const now = this.clock.monotonic();
    const live: Endpoint[] = [];
    for (const [name, entry] of this.entries) {
      if (entry.expiresAt > now) live.push(entry.endpoint);
      else if (entry.endpoint.inFlight === 0) this.entries.delete(name);
    }
    return live;
  }

  /** Returns the record of a live endpoint to send to peers, or `null`. */
  getRecord(name: string): EndpointRecord | null {
    const entry = this.entries.get(name);
    const now = this.clock.monotonic();
    return entry && entry.expiresAt > now ? createRecord(entry, now) : null;
  }

  /** Lists all live records, with the time left of their leases. */
  listRecords(): EndpointRecord[] {
    const now = this.clock.monotonic();
    return [...this.entries.values()]
      .filter(entry => entry.expiresAt > now)
      .map(entry => createRecord(entry, now));
  }

  /** Returns how long ago another daemon relayed an endpoint, in ms. */
  getRelayAgeMs(name: string): number {
    const relayedAt = this.entries.get(name)?.relayedAt ?? -Infinity;
    return this.clock.monotonic() - relayedAt;
  }

  /** Whether the name belongs to a live process at another address. */
  private isNameTaken(known: Entry, announcement: Announcement): boolean {
    const {endpoint, expiresAt} = known;
    return (
      expiresAt > this.clock.monotonic() &&
      !endpoint.leaving &&
      endpoint.incarnation !== announcement.incarnation &&
      endpoint.address !== announcement.address
    );
  }

  private extend(known: Entry, leaseMs: number): void {
    const now = this.clock.monotonic();
    known.relayedAt = now;
    known.expiresAt = Math.max(known.expiresAt, now + leaseMs);
  }

  private store(record: EndpointRecord, relayedAt: number): void {
    const {sequence, leaseMs, ...announcement} = record;
    const now = this.clock.monotonic();
    const known = this.entries.get(record.name)?.endpoint;
    const isSameProcess = known?.incarnation === record.incarnation;
    const leaving = announcement.leaving || (isSameProcess && known.leaving);
    // Requests in flight decrement `inFlight` of the object they started with.
    const endpoint: Endpoint = Object.assign(
      isSameProcess ? known : {inFlight: 0},
      {
        ...announcement,
        leaving,
        loadTakenAt: now - (announcement.load?.ageMs ?? 0),
      },
    );
    const expiresAt = now + leaseMs;
    this.entries.set(record.name, {endpoint, sequence, expiresAt, relayedAt});
  }
}

/** Whether an announcement does more than renew the lease and the load. */
function hasChanged(known: Announcement, next: Announcement): boolean {
  return (
    known.incarnation !== next.incarnation ||
    known.address !== next.address ||
    known.pool !== next.pool ||
    known.leaving !== next.leaving ||
    known.slots !== next.slots ||
    known.versions.join() !== next.versions.join()
  );
}

function createRecord(entry: Entry, now: number): EndpointRecord {
  const {inFlight: _inFlight, loadTakenAt, ...announcement} = entry.endpoint;
  const {load} = announcement;
  return {
    ...announcement,
    load: load && {...load, ageMs: now - loadTakenAt},
    sequence: entry.sequence,
    leaseMs: entry.expiresAt - now,
  };
}
