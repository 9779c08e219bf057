/**
 * The leader's table of configuration leases.
 *
 * A daemon counts its lease from before it asked, the table from after the
 * request arrived, so the table never believes a lease to be over while the
 * daemon still relies on it.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Host} from '../../protocol/control.ts';

/** How long a daemon may take work on what it last learnt. */
export const CONFIGURATION_LEASE_MS = 4_000;

/** How often a daemon renews its lease. */
export const RENEW_INTERVAL_MS = 1_000;

/** A daemon that has not renewed for this long is left out of addresses. */
export const HOST_SILENCE_MS = 2_500;

interface Lease {
  host: Host;
  incarnation: string;
  revision: number;
  renewedAt: number;
}

export interface LeaseTableOptions {
  readonly clock: Clock;
  /** When this table's owner began to lead, on the monotonic clock. */
  readonly getLeaderSince: () => number;
}

/** Holds the leases that one leader granted. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();

  constructor(private readonly options: LeaseTableOptions) {}

  /** Notes a renewal. */
  renew(host: Host, incarnation: string, revision: number): void {
    const renewedAt = this.options.clock.monotonic();
    this.leases.set(host.name, {host, incarnation, revision, renewedAt});
  }

  /** Forgets all leases, as a new leader does. */
  clear(): void {
    this.leases.clear();
  }

  /** The daemons that renewed lately, ordered by name. */
  listHosts(): Host[] {
    const oldest = this.options.clock.monotonic() - HOST_SILENCE_MS;
    return [...this.leases.values()]
      .filter(lease => lease.renewedAt >= oldest)
      .map(lease => lease.host)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * The daemons that may still act on a configuration older than `revision`.
   * A new leader cannot know them before the old leases have run out, which
   * `null` says.
   */
  listBehind(revision: number): string[] | null {
    const oldest = this.options.clock.monotonic() - CONFIGURATION_LEASE_MS;
    if (this.options.getLeaderSince() > oldest) return null;
    return [...this.leases.values()]
      .filter(lease => lease.renewedAt >= oldest && lease.revision < revision)
      .map(lease => lease.host.name);
  }
}
