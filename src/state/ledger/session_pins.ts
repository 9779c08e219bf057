/** The version that each session is pinned to. */

interface Pin {
  version: string;
  atMs: number;
}

/** The pins of a snapshot, least recently used first. */
export type SessionPinsSnapshot = Array<[string, Pin]>;

/** Reads, sets or replaces the pin of a session. */
export interface PinRequest {
  readonly customer: string;
  readonly session: string;
  /** The version to pin if the session has none. */
  readonly version?: string;
  /** Whether to replace an existing pin. */
  readonly repin: boolean;
  readonly atMs: number;
}

/** The pins of one ledger shard, least recently used first. */
export class SessionPins {
  private readonly pins = new Map<string, Pin>();

  get size(): number {
    return this.pins.size;
  }

  /** Applies a request; returns the version that the session is pinned to. */
  pin(request: PinRequest): string | undefined {
    const {customer, session, atMs, repin} = request;
    const id = `${customer}\u0000${session}`;
    const known = this.pins.get(id);
    const version = repin
      ? (request.version ?? known?.version)
      : (known?.version ?? request.version);
    if (version === undefined) return undefined;
    // Reinserts the pin to keep the map in order of last use.
    this.pins.delete(id);
    this.pins.set(id, {version, atMs});
    return version;
  }

  /** Removes at most `limit` pins that were last used before `beforeMs`. */
  sweep(beforeMs: number, limit: number): number {
    let count = 0;
    for (const [id, pin] of this.pins) {
      if (pin.atMs >= beforeMs || count >= limit) break;
      this.pins.delete(id);
      count++;
    }
    return count;
  }

  /** Whether a pin was last used before `beforeMs`. */
  hasOlderThan(beforeMs: number): boolean {
    const [oldest] = this.pins.values();
    return oldest !== undefined && oldest.atMs < beforeMs;
  }

  createSnapshot(): SessionPinsSnapshot {
    return [...this.pins];
  }

  restoreSnapshot(snapshot: SessionPinsSnapshot): void {
    this.pins.clear();
    for (const [id, pin] of snapshot) this.pins.set(id, pin);
  }
}
