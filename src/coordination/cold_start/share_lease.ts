/**
 * Whether all gateways that hold units know that this one does, too.
 *
 * The lists of gateways differ for some seconds. A gateway that was just listed,
 * also after a restart, a long freeze or a long partition, waits until the others
 * have heard of it. One without contact to the core stops before the others take its
 * units.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {RecentGateways} from '../forwarding/recent_gateways.ts';

/**
 * How long a gateway counts after it left the list. The core drops a gateway that
 * has been silent for 2.5 s, so others take its units 5.5 s after its last contact
 * at the earliest.
 */
export const RETAIN_MS = 3_000;

/**
 * How long a gateway without confirmed contact uses its units: two intervals of
 * calls. Others that it does not know yet may hold them then.
 */
const MAX_CONTACT_AGE_MS = 2_000;

/** The longest time without contact after which the others still count a gateway. */
const MAX_CONTACT_GAP_MS = 4_000;

/**
 * How long a gateway must be listed until it uses units: the longest contact age of
 * the others, the exchange among core daemons, and a window of requests.
 */
const MIN_LISTED_MS = 4_500;

/**
 * The least time between two updates, which are due each second, that shows that the
 * process stood still.
 */
const MIN_FREEZE_MS = 2_000;

/** How long a gateway that stood still waits for contact. */
const RESUME_WITHIN_MS = 700;

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
  private updatedAt: number;
  /** Until when the process has just resumed without contact since. */
  private resumingUntil = -Infinity;

  constructor(private readonly options: ShareLeaseOptions) {
    this.updatedAt = options.clock.monotonic();
  }

  /** Records an answer of a core daemon in contact with the leader. */
  recordContact(sentAt: number): void {
    this.update();
    // The others may have dropped this gateway in the meantime.
    if (sentAt - this.contactAt > MAX_CONTACT_GAP_MS) {
      this.listedSince = null;
      this.update();
    }
    this.contactAt = Math.max(this.contactAt, sentAt);
    const now = this.options.clock.monotonic();
    // An answer to a call from before may lack what changed since.
    if (now - sentAt < MIN_FREEZE_MS) this.resumingUntil = -Infinity;
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

  /**
   * Whether the process stood still and has not heard of the core since. It ends
   * soon, since a gateway without contact continues with what it knows.
   */
  isResuming(): boolean {
    this.update();
    return this.options.clock.monotonic() < this.resumingUntil;
  }

  /** Notes the time and whether the gateway is listed; due each second. */
  update(): void {
    const {clock, address, gateways} = this.options;
    const now = clock.monotonic();
    if (now - this.updatedAt > MIN_FREEZE_MS) {
      this.resumingUntil = now + RESUME_WITHIN_MS;
    }
    this.updatedAt = now;
    if (!gateways.isListed(address)) this.listedSince = null;
    else this.listedSince ??= now;
  }
}
