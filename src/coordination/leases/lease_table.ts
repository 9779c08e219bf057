/**
 * The leader's table of configuration leases.
 *
 * A daemon counts its lease from before it asked, the table from after the
 * request arrived, so the table never believes a lease to be over while the
 * daemon still relies on it. A replica that passes renewals on only lengthens
 * the way from the daemon to the table.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  Host,
  HostsByName,
  LeaseHolder,
  UnreachableRegion,
} from '../../protocol/control.ts';

/** How long a daemon may take work on what it last learnt. */
export const CONFIGURATION_LEASE_MS = 4_000;

/** How long a replica holds a renewal back while there is no news. */
export const LONG_POLL_MS = 800;

/** A daemon that has not renewed for this long is left out of addresses. */
export const HOST_TIMEOUT_MS = 2_000;

/** How long daemons that left without a word are remembered. */
const LOST_HOST_RETENTION_MS = 24 * 3_600_000;

interface Lease {
  host: Host;
  incarnation: string;
  revision: number;
  renewedAt: number;
  /** The wall time of the same moment. */
  renewedAtMs: number;
}

export interface LeaseTableOptions {
  readonly clock: Clock;
  /** When this table's owner began to lead, on the monotonic clock. */
  readonly getLeaderSince: () => number;
  /** The regions that the system is known to have. */
  readonly regions?: readonly string[];
}

/** Holds the leases that one leader granted, one for each process. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  constructor(private readonly options: LeaseTableOptions) {}

  /**
   * Notes a renewal; `host` may be left out for a known process.
   *
   * @return False when the process is not known and not described.
   */
  renew(
    holder: LeaseHolder,
    revision: number,
    host: Host | undefined = this.leases.get(formatHolder(holder))?.host,
  ): boolean {
    if (!host) return false;
    const {clock} = this.options;
    const key = formatHolder(holder);
    // Entries are kept in the order of renewal.
    this.leases.delete(key);
    this.leases.set(key, {
      host,
      incarnation: holder.incarnation,
      revision,
      renewedAt: clock.monotonic(),
      renewedAtMs: clock.now(),
    });
    this.pruneLeases();
    return true;
  }

  /** The daemons that renewed lately; the latest process of each name. */
  listHosts(): HostsByName {
    const oldest = this.options.clock.monotonic() - HOST_TIMEOUT_MS;
    const hosts: Record<string, Host> = {};
    for (const lease of this.leases.values()) {
      if (lease.renewedAt >= oldest) hosts[lease.host.name] = lease.host;
    }
    return hosts;
  }

  /** The processes whose lease may still hold; `null` when not known. */
  listHolders(): LeaseHolder[] | null {
    if (!this.isComplete()) return null;
    return this.listLive().map(lease => ({
      name: lease.host.name,
      incarnation: lease.incarnation,
    }));
  }

  /**
   * The daemons that may still act on a configuration older than `revision`.
   * A new leader cannot know them before the old leases have run out, which
   * `null` says.
   */
  listBehind(revision: number): string[] | null {
    if (!this.isComplete()) return null;
    return this.listLive()
      .filter(lease => lease.revision < revision)
      .map(lease => lease.host.name);
  }

  /** The daemons that left without a word, by region. */
  listUnreachable(): UnreachableRegion[] {
    if (!this.isComplete()) return [];
    const live = this.listLive();
    const present = new Set(live.map(lease => lease.host.name));
    const lost = [...this.leases.values()].filter(
      ({host}) => !present.has(host.name) && !host.leaving,
    );
    const regions = new Set(lost.map(lease => lease.host.region));
    const known = new Set([...live, ...lost].map(lease => lease.host.region));
    const unseen = (this.options.regions ?? []).filter(
      region => !known.has(region),
    );
    return [
      ...[...regions].map(region => describeUnreachable(region, lost)),
      ...unseen.map(region => ({
        region,
        hosts: [],
        sinceMs: this.getLeaderSinceMs(),
      })),
    ];
  }

  /** Whether every lease of earlier leaders has run out. */
  private isComplete(): boolean {
    const oldest = this.options.clock.monotonic() - CONFIGURATION_LEASE_MS;
    return this.options.getLeaderSince() <= oldest;
  }

  private listLive(): Lease[] {
    const oldest = this.options.clock.monotonic() - CONFIGURATION_LEASE_MS;
    return [...this.leases.values()].filter(lease => lease.renewedAt >= oldest);
  }

  private getLeaderSinceMs(): number {
    const {clock, getLeaderSince} = this.options;
    return clock.now() - (clock.monotonic() - getLeaderSince());
  }

  private pruneLeases(): void {
    const now = this.options.clock.monotonic();
    const latest = new Map<string, string>();
    for (const [key, lease] of this.leases) latest.set(lease.host.name, key);
    for (const [key, lease] of this.leases) {
      const age = now - lease.renewedAt;
      if (age <= CONFIGURATION_LEASE_MS) return;
      const isSuperseded = latest.get(lease.host.name) !== key;
      if (isSuperseded || lease.host.leaving || age > LOST_HOST_RETENTION_MS) {
        this.leases.delete(key);
      }
    }
  }
}

function describeUnreachable(
  region: string,
  lost: readonly Lease[],
): UnreachableRegion {
  const leases = lost.filter(lease => lease.host.region === region);
  return {
    region,
    hosts: leases.map(lease => lease.host.name),
    sinceMs: Math.min(...leases.map(lease => lease.renewedAtMs)),
  };
}

function formatHolder(holder: LeaseHolder): string {
  return `${holder.name}\u0000${holder.incarnation}`;
}
