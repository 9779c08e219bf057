/** The rate of events over a sliding window that forgets exponentially. */
export class DecayingRate {
  private sum = 0;
  private at = -Infinity;

  /** @param windowMs The time constant of the window. */
  constructor(private readonly windowMs: number) {}

  /** Adds events at a time that never decreases, in ms. */
  add(count: number, now: number): void {
    this.sum = this.decay(now) + count;
    this.at = Math.max(this.at, now);
  }

  /** Events per second. */
  getPerSecond(now: number): number {
    return (this.decay(now) / this.windowMs) * 1_000;
  }

  private decay(now: number): number {
    if (this.sum === 0) return 0;
    return this.sum * Math.exp(-Math.max(0, now - this.at) / this.windowMs);
  }
}
