/** The endpoints that a daemon knows of, each under a lease. */
import type {Clock} from '../../protocol/clock.ts';
import {
  ENDPOINT_LEASE_MS,
  type Announcement,
  type EndpointRecord,
} from '../../protocol/endpoint.ts';

/** An endpoint as the routing decisions see it. */
export interface Endpoint extends Announcement {
  /** Requests that this daemon has running there. */
  inFlight: number;
  /** When the last load report was taken, on the monotonic clock. */
  loadTakenAt: number;
}

interface Entry {
  endpoint: Endpoint;
  sequence: number;
  expiresAt: number;
  changedAt: number;
}

/** Holds announcements until their lease runs out. */
export class EndpointTable {
  private readonly entries = new Map<string, Entry>();
  private nextSequence = 1;

  constructor(private readonly clock: Clock) {}

  /** Notes what an endpoint said to this daemon itself. */
  announce(announcement: Announcement): EndpointRecord {
    const known = this.entries.get(announcement.name);
    const sequence = Math.max(known?.sequence ?? 0, this.nextSequence) + 1;
    this.nextSequence = sequence;
    const record = {...announcement, sequence, leaseMs: ENDPOINT_LEASE_MS};
    this.store(record);
    return record;
  }

  /** Notes what another daemon passed on; false when it is not news. */
  merge(record: EndpointRecord): boolean {
    const known = this.entries.get(record.name);
    const same = known?.endpoint.incarnation === record.incarnation;
    if (known && same && known.sequence >= record.sequence) return false;
    this.store(record);
    return true;
  }

  /** The endpoints whose lease holds. */
  list(): Endpoint[] {
    const now = this.clock.monotonic();
    const live: Endpoint[] = [];
    for (const [name, entry] of this.entries) {
      if (entry.expiresAt > now) live.push(entry.endpoint);
      else if (entry.endpoint.inFlight === 0) this.entries.delete(name);
    }
    return live;
  }

  /** All live records, with what is left of their leases. */
  listRecords(): EndpointRecord[] {
    const now = this.clock.monotonic();
    return [...this.entries.values()]
      .filter(entry => entry.expiresAt > now)
      .map(({endpoint, sequence, expiresAt}) => {
        const {inFlight: _inFlight, loadTakenAt, ...announcement} = endpoint;
        const {load} = announcement;
        return {
          ...announcement,
          load: load && {...load, ageMs: now - loadTakenAt},
          sequence,
          leaseMs: expiresAt - now,
        };
      });
  }

  private store(record: EndpointRecord): void {
    const {sequence, leaseMs, ...announcement} = record;
    const now = this.clock.monotonic();
    const known = this.entries.get(record.name)?.endpoint;
    const same = known?.incarnation === record.incarnation;
    // In-flight work keeps counting on the object that it began with.
    const endpoint: Endpoint = Object.assign(same ? known : {inFlight: 0}, {
      ...announcement,
      loadTakenAt: now - (announcement.load?.ageMs ?? 0),
    });
    if (same && known.leaving) endpoint.leaving = true;
    this.entries.set(record.name, {
      endpoint,
      sequence,
      expiresAt: now + leaseMs,
      changedAt: now,
    });
  }
}
