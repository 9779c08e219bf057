/** The core daemons that one daemon knows. */
import type {Clock} from '../../protocol/clock.ts';
import type {CoreDaemon} from '../../protocol/core_service.ts';

/** How long a silent daemon is retained: longer than a restart takes. */
const EXPIRE_AFTER_MS = 30_000;

export interface CoreMembersOptions {
  readonly clock: Clock;
  readonly self: CoreDaemon;
}

interface KnownDaemon {
  readonly daemon: CoreDaemon;
  readonly lastSeenAt: number;
  /** Whether it contacted this daemon; only such are advertised to peers. */
  readonly isDirect: boolean;
}

/** Starts with the seed addresses and adds the daemons that exchanges name. */
export class CoreMembers {
  private readonly known = new Map<string, KnownDaemon>();
  private seeds: readonly string[] = [];
  private readonly startedAt: number;

  constructor(private readonly options: CoreMembersOptions) {
    this.startedAt = options.clock.monotonic();
  }

  /** Replaces the addresses that are contacted even if no daemon is known. */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
  }

  /** Records a daemon that contacted this one. */
  recordDirect(daemon: CoreDaemon): void {
    this.store(daemon, true);
  }

  /**
   * Records daemons that a peer advertised. A known daemon is not refreshed:
   * only its own contact does that, so that a dead one expires.
   */
  recordAdvertised(daemons: readonly CoreDaemon[]): void {
    for (const daemon of daemons) {
      if (this.known.has(daemon.address)) continue;
      this.store(daemon, false);
    }
  }

  /** Lists this daemon and all that have not expired; removes the others. */
  list(): CoreDaemon[] {
    const oldest = this.options.clock.monotonic() - EXPIRE_AFTER_MS;
    for (const [address, {lastSeenAt}] of this.known) {
      if (lastSeenAt < oldest) this.known.delete(address);
    }
    const others = [...this.known.values()].map(({daemon}) => daemon);
    return [this.options.self, ...others];
  }

  /** Lists this daemon and those that contacted it within `ms`. */
  listLive(ms: number): CoreDaemon[] {
    const oldest = this.options.clock.monotonic() - ms;
    const live = [...this.known.values()].filter(
      ({isDirect, lastSeenAt}) => isDirect && lastSeenAt >= oldest,
    );
    return [this.options.self, ...live.map(({daemon}) => daemon)];
  }

  /**
   * Lists the addresses of known daemons that have been silent for `ms`, and of
   * voters of the group that this daemon has not heard of for as long.
   */
  listSilent(ms: number, voters: readonly string[] = []): string[] {
    const oldest = this.options.clock.monotonic() - ms;
    const silent = [...this.known.values()]
      .filter(({lastSeenAt}) => lastSeenAt < oldest)
      .map(({daemon}) => daemon.address);
    const others = this.startedAt < oldest ? voters : [];
    return [...silent, ...others.filter(each => this.isUnknown(each))];
  }

  /**
   * Lists the addresses of all daemons of the group: of this one, of those that
   * are known, and of the voters, which a daemon that has just started knows from
   * its disk alone. Without a group it counts on the seeds.
   */
  listGroup(voters: readonly string[]): string[] {
    const known = this.list().map(({address}) => address);
    const others = voters.length > 0 ? voters : this.seeds;
    return [...new Set([...known, ...others])];
  }

  /**
   * Lists the addresses of all other daemons, seeds included, beginning with
   * the daemon that contacted this one last.
   */
  listAddresses(): string[] {
    const addresses = new Set(this.seeds);
    for (const {address} of this.list()) addresses.add(address);
    addresses.delete(this.options.self.address);
    return [...addresses]
      .map(address => ({address, contactAt: this.getContactTime(address)}))
      .sort((a, b) => b.contactAt - a.contactAt)
      .map(({address}) => address);
  }

  private isUnknown(address: string): boolean {
    return address !== this.options.self.address && !this.known.has(address);
  }

  /** Returns when a daemon contacted this one last; 0 if it never did. */
  private getContactTime(address: string): number {
    const daemon = this.known.get(address);
    return daemon?.isDirect ? daemon.lastSeenAt : 0;
  }

  private store(daemon: CoreDaemon, isDirect: boolean): void {
    if (daemon.address === this.options.self.address) return;
    const lastSeenAt = this.options.clock.monotonic();
    this.known.set(daemon.address, {daemon, lastSeenAt, isDirect});
  }
}
