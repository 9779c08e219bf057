/**
 * Tells the callers of the directory apart.
 *
 * A caller asks about once per time to live. An address that asks more often stands
 * for several callers, as behind a proxy: they would all be named the same gateways,
 * and others none. Its answers are therefore spread at random.
 */
import type {Clock} from '../../protocol/clock.ts';

/** The window in which the questions of an address are counted. */
const WINDOW_MS = 3_000;

/** A caller asks twice in a window, and once more after a failure. */
const MAX_ASKED = 3;

/** The parts into which an address of several callers is divided. */
const PARTS = 64;

/** Addresses that are counted; more of them ask seldom enough each. */
const MAX_ADDRESSES = 4_096;

export interface CallerKeysOptions {
  readonly clock: Clock;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export class CallerKeys {
  private startedAt = -Infinity;
  private counts = new Map<string, number>();
  private lastCounts = new Map<string, number>();

  constructor(private readonly options: CallerKeysOptions) {}

  /** Returns the key of a caller; `null` stands for an unknown address. */
  get(address: string | null): string {
    if (address === null) return this.drawPart('');
    this.advance();
    const asked = (this.counts.get(address) ?? 0) + 1;
    if (asked > 1 || this.counts.size < MAX_ADDRESSES) {
      this.counts.set(address, asked);
    }
    const most = Math.max(asked, this.lastCounts.get(address) ?? 0);
    return most > MAX_ASKED ? this.drawPart(address) : address;
  }

  private drawPart(address: string): string {
    return `${address}/${Math.floor(this.options.random() * PARTS)}`;
  }

  private advance(): void {
    const now = this.options.clock.monotonic();
    const passedMs = now - this.startedAt;
    if (passedMs < WINDOW_MS) return;
    this.lastCounts = passedMs < 2 * WINDOW_MS ? this.counts : new Map();
    this.counts = new Map();
    this.startedAt = now;
  }
}
