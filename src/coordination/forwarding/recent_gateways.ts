/**
 * The gateways that were listed lately.
 *
 * A core daemon that has just started, or that is cut off from others, lists
 * only some gateways. If each of those took the shares of all that are missing,
 * the sum would be too large, so a gateway counts for some time after it left.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Gateway} from '../../protocol/gateway_entry.ts';

const RETAIN_MS = 5_000;

export interface RecentGatewaysOptions {
  readonly clock: Clock;
  /** Lists the gateways that serve callers, as last reported. */
  readonly listGateways: () => readonly Gateway[];
  /** How long a gateway that is not listed any more still counts, in ms; 5,000. */
  readonly retainMs?: number;
}

/** A gateway that is not listed any more. */
interface LeftGateway {
  readonly gateway: Gateway;
  /** On the monotonic clock. */
  readonly atMs: number;
}

export class RecentGateways {
  private listed: readonly Gateway[] = [];
  private recent: readonly Gateway[] = [];
  private addresses: readonly string[] = [];
  private readonly left = new Map<string, LeftGateway>();

  constructor(private readonly options: RecentGatewaysOptions) {}

  /** Lists the addresses of the listed gateways and of those that left lately. */
  list(): readonly string[] {
    this.update();
    return this.addresses;
  }

  /** Lists the gateways at those addresses. */
  listGateways(): readonly Gateway[] {
    this.update();
    return this.recent;
  }

  /** The length of that list; 1 when it is empty. */
  count(): number {
    return Math.max(1, this.list().length);
  }

  /** Whether a gateway is listed now. */
  isListed(address: string): boolean {
    this.update();
    return this.addresses.includes(address) && !this.left.has(address);
  }

  private update(): void {
    const {clock, listGateways, retainMs = RETAIN_MS} = this.options;
    const next = listGateways();
    const now = clock.monotonic();
    const hasChanged = next !== this.listed;
    if (hasChanged) {
      const listed = new Set(next.map(({address}) => address));
      for (const gateway of this.listed) {
        const {address} = gateway;
        if (!listed.has(address)) this.left.set(address, {gateway, atMs: now});
      }
      for (const address of listed) this.left.delete(address);
      this.listed = next;
    }
    let hasExpired = false;
    for (const [address, {atMs}] of this.left) {
      if (now - atMs < retainMs) continue;
      this.left.delete(address);
      hasExpired = true;
    }
    if (!hasChanged && !hasExpired) return;
    this.recent = [
      ...this.listed,
      ...[...this.left.values()].map(({gateway}) => gateway),
    ];
    this.addresses = this.recent.map(({address}) => address);
  }
}
