/**
 * Chooses which size of a model answers a request.
 *
 * The smallest model goes first: it is cheap and fast, and says how sure it is.
 * Where it is not sure enough, the largest one answers. That takes an engine
 * several times as long, so the bar is lowered while larger models are slow to
 * begin: a late answer helps fewer callers than one that is less sure.
 */
import type {Clock} from '../../protocol/clock.ts';

/** The confidence from which an answer is accepted while there is room. */
const ACCEPT_CONFIDENCE = 48;

/** Up to this share of the objective, larger models count as fast. */
const FAST_SHARE = 0.15;

/** From this share of the objective on, no larger model is asked. */
const SLOW_SHARE = 0.6;

/** What an engine keeps of a prompt counts up to the rest of this share. */
const MIN_UNCACHED_SHARE = 0.1;

/** The weight of the newest first event in the mean. */
const NEWEST_WEIGHT = 0.15;

/** What was seen counts half after this time, so that slowness is tried anew. */
const HALF_LIFE_MS = 2_500;

/** Returns the model to ask; `null` when the caller's word stands. */
export function chooseModel(
  models: readonly string[],
  {asksLargest}: {readonly asksLargest: boolean},
): string | null {
  return (asksLargest ? models.at(-1) : models[0]) ?? null;
}

interface Waiting {
  /** When it could begin at an engine that has nothing else to do. */
  readonly since: number;
  readonly objectiveMs: number;
}

/** A request that waits for a larger model. */
export interface OpenEscalation extends Disposable {
  /** Notes that the answer has begun. */
  begin(): void;
}

/** Decides which answers of smaller models are accepted. */
export class EscalationThreshold {
  /** The mean time to the first event, as a share of the objective. */
  private meanShare = 0;
  private updatedAt = -Infinity;
  /** Requests that wait for a larger model, the oldest first. */
  private readonly waiting = new Set<Waiting>();

  constructor(private readonly clock: Clock) {}

  /**
   * Notes that a larger model is asked. Call the result once it begins its
   * answer, or dispose of it when it never does.
   *
   * @param prefillMs How long an engine reads the prompt; that is no wait.
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
   * Whether a larger model should answer instead of one so sure.
   *
   * @param uncachedShare The share of the prompt that an engine has to read for
   *     it: what takes little time may be asked while there is little room.
   */
  isBelow(confidence: number, uncachedShare = 1): boolean {
    const headroom =
      this.computeHeadroom() / Math.max(MIN_UNCACHED_SHARE, uncachedShare);
    return confidence < ACCEPT_CONFIDENCE * Math.min(1, headroom);
  }

  /** 1 while larger models begin soon, 0 when they begin too late. */
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

/** Whether any larger model could answer instead of one so sure. */
export function isUnsure(confidence: number): boolean {
  return confidence < ACCEPT_CONFIDENCE;
}

/** Whether a larger model than this one may answer. */
export function hasLarger(
  models: readonly string[],
  model: string | null,
): boolean {
  return model !== null && model !== models.at(-1);
}
