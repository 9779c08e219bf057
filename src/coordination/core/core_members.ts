/** The daemons of the core that one daemon knows of. */
import type {Clock} from '../../protocol/clock.ts';
import type {CoreDaemon} from '../../protocol/core_service.ts';

/** How long a daemon that is silent stays known: more than a restart takes. */
const EXPIRE_AFTER_MS = 30_000;

export interface CoreMembersOptions {
  readonly clock: Clock;
  readonly self: CoreDaemon;
}

interface KnownDaemon {
  readonly daemon: CoreDaemon;
  readonly lastSeenAt: number;
  /** Whether it spoke for itself; only such are mentioned to others. */
  readonly isDirect: boolean;
}

/** Starts with the addresses of seeds and grows by what daemons say. */
export class CoreMembers {
  private readonly known = new Map<string, KnownDaemon>();
  private seeds: readonly string[] = [];

  constructor(private readonly options: CoreMembersOptions) {}

  /** Replaces the addresses that are asked although nothing is known there. */
  setSeeds(addresses: readonly string[]): void {
    this.seeds = addresses;
  }

  /** Notes a daemon that spoke for itself. */
  recordDirect(daemon: CoreDaemon): void {
    this.store(daemon, true);
  }

  /** Notes daemons that another one knows; they must speak for themselves. */
  recordAdvertised(daemons: readonly CoreDaemon[]): void {
    for (const daemon of daemons) {
      if (this.known.has(daemon.address)) continue;
      this.store(daemon, false);
    }
  }

  /** This daemon and those that were heard of lately. */
  list(): CoreDaemon[] {
    const oldest = this.options.clock.monotonic() - EXPIRE_AFTER_MS;
    for (const [address, {lastSeenAt}] of this.known) {
      if (lastSeenAt < oldest) this.known.delete(address);
    }
    const others = [...this.known.values()].map(({daemon}) => daemon);
    return [this.options.self, ...others];
  }

  /** Those that spoke for themselves within `ms`, this daemon included. */
  listLive(ms: number): CoreDaemon[] {
    const oldest = this.options.clock.monotonic() - ms;
    const live = [...this.known.values()].filter(
      ({isDirect, lastSeenAt}) => isDirect && lastSeenAt >= oldest,
    );
    return [this.options.self, ...live.map(({daemon}) => daemon)];
  }

  /** The addresses of all others, seeds included. */
  listAddresses(): string[] {
    const addresses = new Set(this.seeds);
    for (const {address} of this.list()) addresses.add(address);
    addresses.delete(this.options.self.address);
    return [...addresses];
  }

  private store(daemon: CoreDaemon, isDirect: boolean): void {
    if (daemon.address === this.options.self.address) return;
    const lastSeenAt = this.options.clock.monotonic();
    this.known.set(daemon.address, {daemon, lastSeenAt, isDirect});
  }
}
