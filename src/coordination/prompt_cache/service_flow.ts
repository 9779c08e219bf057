/** Estimates the size and the duration of a service's requests. */

/** Assumed for a service without enough requests. */
const DEFAULT_HOLD_MS = 3_000;

const MIN_HOLD_MS = 50;
const MAX_HOLD_MS = 60_000;

/** The time over which the rate of requests is measured, in ms. */
const WINDOW_MS = 10_000;

/** The weight of the newest request in the means. */
const WEIGHT = 0.02;

/** The fewest requests for an estimate of the duration. */
const MIN_REQUESTS = 20;

/** The requests of one gateway to one service. */
export class ServiceFlow {
  /** The mean tokens of a request, its output included. */
  requestTokens = 0;
  /** The mean tokens of a request that were not cached. */
  uncachedTokens = 0;
  private requests = 0;
  /** Requests in the window, of which earlier ones count less. */
  private recent = 0;
  private open = 0;
  private beganAt = 0;
  private recordedAt = 0;

  /** Records a request; `open` are those that the gateway has open now. */
  record(
    sizes: Pick<ServiceFlow, 'requestTokens' | 'uncachedTokens'>,
    open: number,
    now: number,
  ): void {
    this.requests++;
    if (this.requests === 1) this.beganAt = now;
    const weight = Math.max(WEIGHT, 1 / this.requests);
    this.requestTokens += weight * (sizes.requestTokens - this.requestTokens);
    this.uncachedTokens +=
      weight * (sizes.uncachedTokens - this.uncachedTokens);
    this.open += weight * (open - this.open);
    const kept = Math.exp((this.recordedAt - now) / WINDOW_MS);
    this.recent = this.recent * kept + 1;
    this.recordedAt = now;
  }

  /** The mean time that a request is open, in ms, by Little's law. */
  get holdMs(): number {
    if (this.requests < MIN_REQUESTS) return DEFAULT_HOLD_MS;
    const sinceMs = this.recordedAt - this.beganAt;
    const windowMs = WINDOW_MS * (1 - Math.exp(-sinceMs / WINDOW_MS));
    const perMs = this.recent / Math.max(1, windowMs);
    return Math.max(MIN_HOLD_MS, Math.min(MAX_HOLD_MS, this.open / perMs));
  }
}
