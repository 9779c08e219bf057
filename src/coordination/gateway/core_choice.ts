/**
 * Chooses the core daemon that a gateway follows.
 *
 * Near daemons that have room come first. Those that did not answer or lag are
 * avoided for a while, unless none answered: then the gateway was cut off itself,
 * which says nothing about them. While all that answer lag, the others are tried.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {CoreDaemon} from '../../protocol/core_service.ts';
import {computeDistance} from '../membership/compute_distance.ts';
import type {GatewayView} from './gateway_view.ts';

/** How long a daemon that lags is avoided. */
const AVOID_LAGGING_MS = 3_000;

/**
 * How long a daemon that did not answer is avoided: as long as other daemons
 * list one that is lost.
 */
const AVOID_SILENT_MS = 30_000;

/** How long a daemon whose answer is late is avoided. */
const AVOID_SLOW_MS = 2_000;

/**
 * Without any answer for this long, a gateway was cut off itself, which says
 * nothing about the daemons that did not answer meanwhile.
 */
const ISOLATED_MS = 2_000;

/** How often a silent daemon is tried while all others lag. */
const RETRY_SILENT_MS = 3_000;

/** The followers that a daemon takes, in relation to its share of all. */
const ROOM_SHARE = 1.25;

/** The followers beyond which some look for another daemon. */
const CROWDED_SHARE = 1.5;

/**
 * How long ago a daemon did not answer when a crowd may spread to it again, since
 * others are in contact with it.
 */
const RECOVERED_MS = 4_000;

/** The least time between two moves that no failure causes. */
const MOVE_INTERVAL_MS = 3_000;

/** The probability of a move at a chance for it: not all move at once. */
const MOVE_PROBABILITY = 0.3;

export interface CoreChoiceOptions {
  readonly view: GatewayView;
  readonly clock: Clock;
  /** Lists the addresses in the settings. */
  readonly listSeeds: () => readonly string[];
  readonly region: string;
  readonly dataCentre: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export class CoreChoice {
  /** When daemons that lag may be chosen again as any other. */
  private readonly laggingUntil = new Map<string, number>();
  /** The same for daemons that did not answer. */
  private readonly silentUntil = new Map<string, number>();
  /** When daemons did not answer last. */
  private readonly failedAt = new Map<string, number>();
  /** When any daemon answered last. */
  private answeredAt = -Infinity;
  private movedAt = -Infinity;

  constructor(private readonly options: CoreChoiceOptions) {}

  /** Lists the addresses of all daemons that are known. */
  listAddresses(): string[] {
    const {view, listSeeds} = this.options;
    const known = view.cores.map(({address}) => address);
    return [...new Set([...known, ...listSeeds()])];
  }

  /** Records an answer; `isFresh` if the daemon has contact to the leader. */
  recordAnswer(address: string, isFresh: boolean): void {
    const now = this.options.clock.monotonic();
    if (now - this.answeredAt > ISOLATED_MS) this.dropFailures();
    this.answeredAt = now;
    this.silentUntil.delete(address);
    if (isFresh) this.laggingUntil.delete(address);
    else this.avoid(this.laggingUntil, address, AVOID_LAGGING_MS);
  }

  /** Forgets the failures since the last answer. */
  private dropFailures(): void {
    for (const [address, atMs] of this.failedAt) {
      if (atMs >= this.answeredAt) this.silentUntil.delete(address);
    }
  }

  recordFailure(address: string): void {
    this.failedAt.set(address, this.options.clock.monotonic());
    this.avoid(this.silentUntil, address, AVOID_SILENT_MS);
  }

  /** Records that an answer is late, and may still arrive. */
  recordSlow(address: string): void {
    this.failedAt.set(address, this.options.clock.monotonic());
    this.avoid(this.silentUntil, address, AVOID_SLOW_MS);
  }

  /**
   * Chooses a daemon: the one that is followed unless it is avoided or another
   * one is nearer or less crowded. `null` while none is known.
   */
  choose(followed: string | null): string | null {
    const addresses = this.listAddresses();
    const isCrowded = followed !== null && this.countExcess(followed) > 0;
    const best = this.findBest(addresses, isCrowded);
    if (followed === null || !this.canStay(followed)) {
      if (best !== null) this.movedAt = this.options.clock.monotonic();
      return best;
    }
    if (best === null || !this.mayMove(followed, best)) return followed;
    this.movedAt = this.options.clock.monotonic();
    return best;
  }

  /** Whether a daemon that is followed answers in time and is in contact. */
  canStay(followed: string): boolean {
    return (
      this.listAddresses().includes(followed) &&
      !this.isAvoided(this.laggingUntil, followed) &&
      !this.isAvoided(this.silentUntil, followed)
    );
  }

  private findBest(
    addresses: readonly string[],
    isCrowded: boolean,
  ): string | null {
    const {view, random, clock} = this.options;
    const now = clock.monotonic();
    const silent = this.findSilentToRetry(addresses);
    if (silent !== null) return silent;
    const [best] = addresses
      .map(address => ({
        address,
        isSilent: this.isUnreachable(address, isCrowded) ? 1 : 0,
        isLagging: this.isLagging(address) ? 1 : 0,
        isReported: view.isCoreSilent(address) ? 1 : 0,
        isFull: this.countFollowers(address) >= this.computeRoom() ? 1 : 0,
        silentMs: (this.silentUntil.get(address) ?? now) - now,
        rank: this.computeRank(address) + random() * 0.9,
      }))
      .sort(
        (a, b) =>
          a.isSilent - b.isSilent ||
          a.isReported - b.isReported ||
          a.isLagging - b.isLagging ||
          a.isFull - b.isFull ||
          a.isSilent * (a.silentMs - b.silentMs) ||
          a.rank - b.rank,
      );
    return best?.address ?? null;
  }

  /**
   * Finds a silent daemon to try again while no other one is in contact with the
   * leader; `null` if there is none, or each was tried a short time ago.
   */
  private findSilentToRetry(addresses: readonly string[]): string | null {
    const {view, clock} = this.options;
    const isSilent = (address: string) =>
      this.isAvoided(this.silentUntil, address) || view.isCoreSilent(address);
    const isAnyFine = addresses.some(
      address => !isSilent(address) && !this.isLagging(address),
    );
    if (isAnyFine) return null;
    const getFailedAt = (address: string) =>
      this.failedAt.get(address) ?? -Infinity;
    const latest = clock.monotonic() - RETRY_SILENT_MS;
    const [oldest] = addresses
      .filter(address => isSilent(address) && getFailedAt(address) <= latest)
      .sort((a, b) => getFailedAt(a) - getFailedAt(b));
    return oldest ?? null;
  }

  /** Whether to leave a daemon that works for another one. */
  private mayMove(followed: string, best: string): boolean {
    const {clock, random, view} = this.options;
    if (clock.monotonic() - this.movedAt < MOVE_INTERVAL_MS) return false;
    const excess = this.countExcess(followed);
    const isUsable =
      !this.isUnreachable(best, excess > 0) &&
      !this.isLagging(best) &&
      !view.isCoreSilent(best) &&
      this.countFollowers(best) < this.computeRoom();
    if (!isUsable) return false;
    if (excess > 0) return random() * this.countFollowers(followed) < excess;
    const isNearer = this.computeRank(best) < this.computeRank(followed);
    const leavesRoom = this.countFollowers(best) + 1 < this.computeRoom();
    return isNearer && leavesRoom && random() < MOVE_PROBABILITY;
  }

  /** Whether a daemon did not answer this gateway, and is not known to be back. */
  private isUnreachable(address: string, isCrowded: boolean): boolean {
    if (!this.isAvoided(this.silentUntil, address)) return false;
    if (!isCrowded || this.findCore(address)?.fresh !== true) return true;
    const failedAt = this.failedAt.get(address) ?? -Infinity;
    return this.options.clock.monotonic() - failedAt < RECOVERED_MS;
  }

  /** Counts the followers of a daemon that should follow others. */
  private countExcess(address: string): number {
    const crowd = Math.max(2, Math.ceil(this.computeShare() * CROWDED_SHARE));
    return this.countFollowers(address) - crowd;
  }

  /** The gateways that each daemon would have if all had as many. */
  private computeShare(): number {
    const {view} = this.options;
    const running = view.cores.filter(
      ({address}) => !view.isCoreSilent(address),
    );
    return view.gatewayCount / Math.max(1, running.length);
  }

  private computeRoom(): number {
    return Math.max(2, Math.ceil(this.computeShare() * ROOM_SHARE));
  }

  /** Whether a daemon lagged lately, or tells others that it does. */
  private isLagging(address: string): boolean {
    return (
      this.isAvoided(this.laggingUntil, address) ||
      this.findCore(address)?.fresh === false
    );
  }

  private countFollowers(address: string): number {
    return this.findCore(address)?.followers ?? 0;
  }

  /** 0 in this data centre, 1 in this region, 2 elsewhere, 3 where unknown. */
  private computeRank(address: string): number {
    const core = this.findCore(address);
    return core ? computeDistance(this.options, core) : 3;
  }

  private findCore(address: string): CoreDaemon | undefined {
    return this.options.view.cores.find(core => core.address === address);
  }

  private avoid(until: Map<string, number>, address: string, ms: number): void {
    const now = this.options.clock.monotonic();
    until.set(address, Math.max(until.get(address) ?? 0, now + ms));
  }

  private isAvoided(
    until: ReadonlyMap<string, number>,
    address: string,
  ): boolean {
    const now = this.options.clock.monotonic();
    return (until.get(address) ?? -Infinity) > now;
  }
}
