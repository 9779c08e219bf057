/** Troubles of the daemons of a simulated control plane. */
import type {Draws} from '../../protocol/seeded_draws.ts';
import type {ControlPlane} from './control_plane.ts';

/** How long a disturbance excuses a daemon, in ms. */
export const CONTACT_MS = 4_000;

/** How long a link that went silent stays so: until keep-alives notice it. */
const HALF_OPEN_MS = 1_500;

export const TROUBLES = [
  'freeze-core',
  'kill-core',
  'kill-leader',
  'wipe-core',
  'cut-core',
  'kill-all-cores',
  'kill-after-ack',
  'kill-gateways',
  'freeze-gateways',
  'cut-gateways',
  'half-open',
  'loss',
] as const;

export type Trouble = (typeof TROUBLES)[number];

export interface ControlTroublesOptions {
  readonly plane: ControlPlane;
  readonly draws: Draws;
}

/** Plays troubles, and keeps who is excused by them. */
export class ControlTroubles {
  /** The core starts with the simulation. */
  private coreDisturbedAt = 0;
  private readonly gatewaysDisturbedAt = new Map<number, number>();
  /** Core daemons and gateways that are down, frozen or cut off. */
  private readonly unreachable = new Set<string>();
  private readonly brokenGateways = new Set<number>();
  private isLossy = false;
  private killsAfterAck = false;

  constructor(private readonly options: ControlTroublesOptions) {}

  /** Whether the core was stable for a while. */
  get isCoreStable(): boolean {
    const now = this.options.plane.clock.monotonic();
    return now - this.coreDisturbedAt >= CONTACT_MS && this.hasMajority();
  }

  /** Whether all core daemons run and the bounds hold for all gateways. */
  get isCalm(): boolean {
    if (this.unreachable.size > 0) return false;
    return this.options.plane.gateways.every((_, index) =>
      this.isInTouch(index),
    );
  }

  /** Whether the bounds hold for a gateway at this moment. */
  isInTouch(index: number): boolean {
    const now = this.options.plane.clock.monotonic();
    const at = this.gatewaysDisturbedAt.get(index) ?? -Infinity;
    return this.isCoreStable && now - at >= CONTACT_MS;
  }

  /** Records the disturbances that go on; to be called at each step. */
  step(): void {
    if (!this.hasMajority()) this.disturbCore();
    if (this.isLossy) this.disturbAll();
    for (const index of this.brokenGateways) this.disturbGateway(index);
  }

  /** Kills the daemon that acknowledged something, if that is planned. */
  handleAck(by: string): void {
    if (!this.killsAfterAck) return;
    this.killsAfterAck = false;
    void this.killFor([by], 500);
  }

  /** Plays a trouble; resolves when it has ended. */
  async play(trouble: Trouble): Promise<void> {
    const {plane, draws} = this.options;
    const forMs = draws.between(1_000, 8_000);
    switch (trouble) {
      case 'freeze-core':
        return this.freezeCores(this.drawCores(), forMs);
      case 'kill-core':
        return this.killFor(this.drawCores(), draws.between(300, 1_500));
      case 'kill-leader':
        return this.killFor(plane.group.listLeaders(), 800);
      case 'wipe-core':
        return this.killFor(this.drawCores(1), 600, {wipes: true});
      case 'cut-core':
        return this.cutCores(this.drawCores(), forMs);
      case 'kill-all-cores':
        return this.killFor([...plane.cores.keys()], 700);
      case 'kill-after-ack':
        this.killsAfterAck = true;
        return plane.clock.sleep(forMs);
      case 'kill-gateways':
        for (const index of this.drawGateways()) {
          this.disturbGateway(index);
          plane.restartGateway(index);
        }
        return;
      case 'freeze-gateways':
        return this.freezeGateways(this.drawGateways(), forMs);
      case 'cut-gateways':
        return this.cutGateways(this.drawGateways(), forMs);
      case 'half-open':
        return this.breakLinks();
      case 'loss':
        return this.losePackets(forMs);
    }
  }

  private hasMajority(): boolean {
    const {coreNames} = this.options.plane;
    const reachable = coreNames.filter(name => !this.unreachable.has(name));
    return 2 * reachable.length > coreNames.length;
  }

  /** Draws core daemons whose loss leaves a majority. */
  private drawCores(most = Infinity): string[] {
    const {plane, draws} = this.options;
    const reachable = plane.coreNames.filter(
      name => !this.unreachable.has(name),
    );
    // Voters are five of them at most: two of those may be lost.
    const spare = Math.min(
      2,
      reachable.length - 1 - plane.coreNames.length / 2,
    );
    const count = Math.min(most, draws.between(1, Math.max(1, spare)));
    return drawSome(draws, reachable, spare < 0 ? 0 : count);
  }

  private drawGateways(): number[] {
    const {plane, draws} = this.options;
    const all = plane.gateways
      .map((_, index) => index)
      .filter(index => !this.brokenGateways.has(index));
    return drawSome(draws, all, draws.between(1, Math.ceil(all.length / 3)));
  }

  private async killFor(
    names: readonly string[],
    ms: number,
    {wipes = false} = {},
  ): Promise<void> {
    const {plane} = this.options;
    this.disturbCore();
    for (const name of names) {
      this.unreachable.add(name);
      if (wipes) plane.wipeCore(name);
      else plane.killCore(name);
    }
    await plane.clock.sleep(ms);
    for (const name of names) {
      await plane.restartCore(name);
      this.unreachable.delete(name);
    }
    this.disturbCore();
  }

  private async freezeCores(
    names: readonly string[],
    ms: number,
  ): Promise<void> {
    const {plane} = this.options;
    const clocks = names.map(name => plane.group.getHost(name).clock);
    this.disturbCore();
    for (const clock of clocks) clock.freeze();
    for (const name of names) this.unreachable.add(name);
    await plane.clock.sleep(ms);
    for (const clock of clocks) clock.resume();
    for (const name of names) this.unreachable.delete(name);
    this.disturbCore();
  }

  private async cutCores(names: readonly string[], ms: number): Promise<void> {
    const {plane} = this.options;
    this.disturbCore();
    plane.cutOff(names, plane.clock.monotonic() + ms);
    for (const name of names) {
      this.unreachable.add(name);
      plane.group.isolated.add(name);
    }
    await plane.clock.sleep(ms);
    for (const name of names) {
      this.unreachable.delete(name);
      plane.group.isolated.delete(name);
    }
    this.disturbCore();
  }

  private async freezeGateways(
    indexes: readonly number[],
    ms: number,
  ): Promise<void> {
    const {plane} = this.options;
    const clocks = indexes.flatMap(index => plane.gateways[index]?.clock ?? []);
    for (const index of indexes) this.brokenGateways.add(index);
    for (const clock of clocks) clock.freeze();
    await plane.clock.sleep(ms);
    for (const clock of clocks) clock.resume();
    for (const index of indexes) this.restoreGateway(index);
  }

  private async cutGateways(
    indexes: readonly number[],
    ms: number,
  ): Promise<void> {
    const {plane} = this.options;
    const addresses = indexes.flatMap(
      index => plane.gateways[index]?.address ?? [],
    );
    for (const index of indexes) this.brokenGateways.add(index);
    plane.cutOff(addresses, plane.clock.monotonic() + ms);
    await plane.clock.sleep(ms);
    for (const index of indexes) this.restoreGateway(index);
  }

  /** Lets open connections of gateways to the daemons they follow go silent. */
  private async breakLinks(): Promise<void> {
    const {plane} = this.options;
    this.disturbAll();
    const until = plane.clock.monotonic() + HALF_OPEN_MS;
    for (const index of this.drawGateways()) {
      const gateway = plane.gateways[index];
      if (gateway?.followed) {
        plane.network.cut(gateway.address, gateway.followed, until);
      }
    }
    await plane.clock.sleep(HALF_OPEN_MS);
  }

  private async losePackets(ms: number): Promise<void> {
    const {plane, draws} = this.options;
    this.isLossy = true;
    plane.network.lossShare = draws.log(0.01, 0.2);
    await plane.clock.sleep(ms);
    plane.network.lossShare = 0;
    this.isLossy = false;
    this.disturbAll();
  }

  private restoreGateway(index: number): void {
    this.brokenGateways.delete(index);
    this.disturbGateway(index);
  }

  private disturbCore(): void {
    this.coreDisturbedAt = this.options.plane.clock.monotonic();
  }

  private disturbGateway(index: number): void {
    const now = this.options.plane.clock.monotonic();
    this.gatewaysDisturbedAt.set(index, now);
  }

  private disturbAll(): void {
    this.disturbCore();
    this.options.plane.gateways.forEach((_, index) =>
      this.disturbGateway(index),
    );
  }
}

function drawSome<T>({next}: Draws, all: readonly T[], count: number): T[] {
  return all
    .map(value => ({value, order: next()}))
    .sort((a, b) => a.order - b.order)
    .slice(0, count)
    .map(({value}) => value);
}
