/**
 * Chooses the model of a cascade that answers a request.
 *
 * The smallest model is asked first: it is cheap and fast, and reports its
 * confidence. Below the escalation threshold the largest model is asked, which
 * takes several times as much engine time. The threshold is lowered while
 * larger models are slow to begin: a late answer helps fewer callers than one
 * of lower confidence.
 */
import type {Clock} from '../../protocol/clock.ts';

/** The escalation threshold while larger models begin fast. */
const ACCEPT_CONFIDENCE = 48;

/** Time to first event, as a share of the objective, that counts as fast. */
const FAST_SHARE = 0.15;

/** Time to first event, as a share of the objective, that ends escalations. */
const SLOW_SHARE = 0.6;

/** Lower bound of the uncached share, to limit the credit for cached tokens. */
const MIN_UNCACHED_SHARE = 0.1;

/** The weight of the newest sample in the moving average. */
const NEWEST_WEIGHT = 0.15;

/** Half-life of the average, so that slow models are tried again. */
const HALF_LIFE_MS = 2_500;

/** Returns the model to ask; `null` leaves the caller's choice. */
export function chooseModel(
  models: readonly string[],
  {asksLargest}: {readonly asksLargest: boolean},
): string | null {
  return (asksLargest ? models.at(-1) : models[0]) ?? null;
}

interface Waiting {
  /** When it would begin at an idle engine. */
  readonly since: number;
  readonly objectiveMs: number;
}

/** An escalated request whose answer has not begun. */
export interface OpenEscalation extends Disposable {
  /** Records that the answer has begun. */
  begin(): void;
}

/** The escalation threshold, adapted to how soon larger models begin. */
export class EscalationThreshold {
  /** Moving average of the time to first event, as a share of the objective. */
  private meanShare = 0;
  private updatedAt = -Infinity;
  /** Open escalations, oldest first. */
  private readonly waiting = new Set<Waiting>();

  constructor(private readonly clock: Clock) {}

  /**
   * Opens an escalation. Call `begin()` on the result when the answer begins,
   * or dispose it when it never does.
   *
   * @param prefillMs The expected prefill time, not counted as waiting.
   */
  open(objectiveMs: number, prefillMs = 0): OpenEscalation {
    const since = this.clock.monotonic() + prefillMs;
    const entry = {since, objectiveMs};
    this.waiting.add(entry);
    return {
      begin: () => {
        if (!this.waiting.delete(entry)) return;
        this.record(this.computeWaitShare(entry));
      },
      [Symbol.dispose]: () => void this.waiting.delete(entry),
    };
  }

  /**
   * Whether an answer of this confidence should be escalated.
   *
   * @param uncachedShare The share of the prompt to prefill for the larger
   *     model: a request that needs little engine time may be escalated while
   *     there is little headroom.
   */
  isBelow(confidence: number, uncachedShare = 1): boolean {
    const headroom =
      this.computeHeadroom() / Math.max(MIN_UNCACHED_SHARE, uncachedShare);
    return confidence < ACCEPT_CONFIDENCE * Math.min(1, headroom);
  }

  /** 1 while larger models begin fast, 0 when they begin too late. */
  private computeHeadroom(): number {
    const [oldest] = this.waiting;
    const waitShare = oldest ? this.computeWaitShare(oldest) : 0;
    const slowness = Math.max(this.computeMeanShare(), waitShare);
    const headroom = (SLOW_SHARE - slowness) / (SLOW_SHARE - FAST_SHARE);
    return Math.min(1, Math.max(0, headroom));
  }

  private record(share: number): void {
    const mean = this.computeMeanShare();
    this.meanShare = mean + (share - mean) * NEWEST_WEIGHT;
    this.updatedAt = this.clock.monotonic();
  }

  /** How long a request has waited, as a share of its objective. */
  private computeWaitShare({since, objectiveMs}: Waiting): number {
    const waitedMs = Math.max(0, this.clock.monotonic() - since);
    return waitedMs / Math.max(1, objectiveMs);
  }

  private computeMeanShare(): number {
    const ageMs = this.clock.monotonic() - this.updatedAt;
    return this.meanShare * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}

/** Whether the confidence is below the threshold at its highest. */
export function isUnsure(confidence: number): boolean {
  return confidence < ACCEPT_CONFIDENCE;
}

/** Whether the cascade has a larger model; false if the caller chose one. */
export function hasLarger(
  models: readonly string[],
  model: string | null,
): boolean {
  return model !== null && model !== models.at(-1);
}
