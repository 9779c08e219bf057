/**
 * The leader's table of configuration leases.
 *
 * A daemon measures its lease from before it sends the renewal, the table from
 * after the request arrives, so a lease never expires in the table while the
 * daemon still relies on it. Forwarding through a replica only delays the
 * arrival, which keeps this order.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {
  Host,
  HostsByName,
  LeaseHolder,
  UnreachableRegion,
} from '../../protocol/control.ts';

/** How long a daemon may accept work on its last granted configuration. */
export const CONFIGURATION_LEASE_MS = 4_000;

/** How long a replica delays its reply to a renewal without changes. */
export const LONG_POLL_MS = 800;

/** A daemon that has not renewed for this long is omitted from addresses. */
export const HOST_TIMEOUT_MS = 2_000;

/** How long daemons whose lease expired without a shutdown are reported. */
const LOST_HOST_RETENTION_MS = 24 * 3_600_000;

interface Lease {
  host: Host;
  incarnation: string;
  revision: number;
  renewedAt: number;
  /** Wall-clock time of `renewedAt`. */
  renewedAtMs: number;
}

export interface LeaseTableOptions {
  readonly clock: Clock;
  /**
   * Returns when the owner of this table became leader, on the monotonic
   * clock.
   */
  readonly getLeaderSince: () => number;
  /** The configured regions. */
  readonly regions?: readonly string[];
}

/** Holds the leases that one leader granted, one per process. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  constructor(private readonly options: LeaseTableOptions) {}

  /** When the owner of this table became leader, on the monotonic clock. */
  get leaderSince(): number {
    return this.options.getLeaderSince();
  }

  /**
   * Records a renewal. `host` may be omitted for a known process.
   *
   * @return False if the process is unknown and `host` is omitted.
   */
  renew(
    holder: LeaseHolder,
    revision: number,
    host: Host | undefined = this.leases.get(formatHolder(holder))?.host,
  ): boolean {
    if (!host) return false;
    const {clock} = this.options;
    const key = formatHolder(holder);
    // Reinserts the entry, so that the map stays ordered by renewal time.
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

  /**
   * Lists the daemons that renewed within the host timeout, with the most
   * recently renewed process of each name.
   */
  listHosts(): HostsByName {
    const oldest = this.options.clock.monotonic() - HOST_TIMEOUT_MS;
    const hosts: Record<string, Host> = {};
    for (const lease of this.leases.values()) {
      if (lease.renewedAt >= oldest) hosts[lease.host.name] = lease.host;
    }
    return hosts;
  }

  /**
   * Whether this leader leads for so long that a daemon which has not renewed is
   * delisted.
   */
  hasHeardHosts(): boolean {
    return this.leaderSince <= this.options.clock.monotonic() - HOST_TIMEOUT_MS;
  }

  /**
   * Lists the processes whose lease may still be valid. Returns `null` while
   * unknown leases of an earlier leader may be valid too.
   */
  listHolders(): LeaseHolder[] | null {
    if (!this.isComplete()) return null;
    return this.listLive().map(lease => ({
      name: lease.host.name,
      incarnation: lease.incarnation,
    }));
  }

  /**
   * Lists the daemons that may still act on a configuration older than
   * `revision`. Returns `null` while leases of an earlier leader, which a new
   * leader does not know, may still be valid.
   */
  listOutdatedHosts(revision: number): string[] | null {
    if (!this.isComplete()) return null;
    return this.listLive()
      .filter(lease => lease.revision < revision)
      .map(lease => lease.host.name);
  }

  /**
   * Lists, by region, the daemons whose lease expired without a shutdown, and
   * the configured regions from which no daemon is known.
   */
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

  /** Whether all leases granted by earlier leaders have expired. */
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
