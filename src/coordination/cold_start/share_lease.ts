/**
 * Whether all gateways that hold units know that this one does, too.
 *
 * The lists of gateways differ for some seconds. A gateway that was just listed,
 * also after a restart, a freeze or a partition, waits until the others have heard
 * of it. One without contact to the core stops before the others take its units.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {RecentGateways} from '../forwarding/recent_gateways.ts';

/**
 * How long a gateway without confirmed contact uses its units. The core drops a
 * silent gateway after 2.5 s, and others count it for another 5 s.
 */
const MAX_CONTACT_AGE_MS = 3_000;

/**
 * How long a gateway must be listed until it uses units: the longest contact age of
 * the others, the exchange among core daemons, and a window of requests.
 */
const MIN_LISTED_MS = 6_000;

export interface ShareLeaseOptions {
  readonly clock: Clock;
  /** The address of this gateway in the list. */
  readonly address: string;
  readonly gateways: RecentGateways;
}

export class ShareLease {
  /** When the call was sent that a daemon with a leader answered last. */
  private contactAt = -Infinity;
  /** Since when this gateway has been listed; `null` while it is not. */
  private listedSince: number | null = null;

  constructor(private readonly options: ShareLeaseOptions) {}

  /** Records an answer of a core daemon in contact with the leader. */
  recordContact(sentAt: number): void {
    // The others may have dropped this gateway in the meantime.
    if (sentAt - this.contactAt > MAX_CONTACT_AGE_MS) this.listedSince = null;
    this.contactAt = Math.max(this.contactAt, sentAt);
    this.update();
  }

  /** Whether this gateway may use its units now. */
  isHeld(): boolean {
    this.update();
    const now = this.options.clock.monotonic();
    return (
      this.listedSince !== null &&
      now - this.listedSince >= MIN_LISTED_MS &&
      now - this.contactAt <= MAX_CONTACT_AGE_MS
    );
  }

  /** Notes whether the gateway is listed; to be called each second at least. */
  update(): void {
    const {clock, address, gateways} = this.options;
    if (!gateways.isListed(address)) this.listedSince = null;
    else this.listedSince ??= clock.monotonic();
  }
}
