/** Which version each session stays on. */

interface Pin {
  version: string;
  atMs: number;
}

/** What a snapshot holds of the pins, the longest unused first. */
export type SessionPinsSnapshot = Array<[string, Pin]>;

/** What a request asks of its session's pin. */
export interface PinRequest {
  readonly customer: string;
  readonly session: string;
  /** The version to pin when the session has none. */
  readonly version?: string;
  /** Replaces the pin. */
  readonly repin: boolean;
  readonly atMs: number;
}

/** Holds pins in the order of their last use. */
export class SessionPins {
  private readonly pins = new Map<string, Pin>();

  get size(): number {
    return this.pins.size;
  }

  /** Returns the version that the session is on after this request. */
  pin(request: PinRequest): string | undefined {
    const {customer, session, atMs, repin} = request;
    const id = `${customer}\u0000${session}`;
    const known = this.pins.get(id);
    const version = repin
      ? (request.version ?? known?.version)
      : (known?.version ?? request.version);
    if (version === undefined) return undefined;
    // Set anew, so that the longest unused stands first.
    this.pins.delete(id);
    this.pins.set(id, {version, atMs});
    return version;
  }

  /** Forgets at most `limit` pins that were last used before `beforeMs`. */
  sweep(beforeMs: number, limit: number): number {
    let count = 0;
    for (const [id, pin] of this.pins) {
      if (pin.atMs >= beforeMs || count >= limit) break;
      this.pins.delete(id);
      count++;
    }
    return count;
  }

  /** Whether a sweep would find something. */
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
