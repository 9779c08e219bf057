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
const ACCEPT_FROM = 48;

/** Up to this share of the objective, larger models count as fast. */
const FAST_SHARE = 0.15;

/** From this share of the objective on, no larger model is asked. */
const SLOW_SHARE = 0.6;

/** What an engine keeps of a prompt counts up to the rest of this share. */
const MIN_UNREAD_SHARE = 0.1;

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
export class EscalationBar {
  /** The mean time to the first event, as a share of the objective. */
  private meanShare = 0;
  private seenAt = -Infinity;
  /** Requests that wait for a larger model, the oldest first. */
  private readonly waiting = new Set<Waiting>();

  constructor(private readonly clock: Clock) {}

  /**
   * Notes that a larger model is asked. Call the result once it begins its
   * answer, or dispose of it when it never does.
   *
   * @param readingMs How long an engine reads the prompt; that is no wait.
   */
  open(objectiveMs: number, readingMs = 0): OpenEscalation {
    const since = this.clock.monotonic() + readingMs;
    const entry = {since, objectiveMs};
    this.waiting.add(entry);
    return {
      begin: () => {
        if (!this.waiting.delete(entry)) return;
        this.record(this.readShare(entry));
      },
      [Symbol.dispose]: () => void this.waiting.delete(entry),
    };
  }

  /**
   * Whether a larger model should answer instead of one so sure.
   *
   * @param unreadShare The share of the prompt that an engine has to read for
   *     it: what takes little time may be asked while there is little room.
   */
  isBelow(confidence: number, unreadShare = 1): boolean {
    const room = this.measureRoom() / Math.max(MIN_UNREAD_SHARE, unreadShare);
    return confidence < ACCEPT_FROM * Math.min(1, room);
  }

  /** 1 while larger models begin soon, 0 when they begin too late. */
  private measureRoom(): number {
    const [oldest] = this.waiting;
    const waited = oldest ? this.readShare(oldest) : 0;
    const slowness = Math.max(this.readMean(), waited);
    const room = (SLOW_SHARE - slowness) / (SLOW_SHARE - FAST_SHARE);
    return Math.min(1, Math.max(0, room));
  }

  private record(share: number): void {
    const known = this.readMean();
    this.meanShare = known + (share - known) * NEWEST_WEIGHT;
    this.seenAt = this.clock.monotonic();
  }

  /** How long a request has waited, as a share of its objective. */
  private readShare({since, objectiveMs}: Waiting): number {
    const waitedMs = Math.max(0, this.clock.monotonic() - since);
    return waitedMs / Math.max(1, objectiveMs);
  }

  private readMean(): number {
    const ageMs = this.clock.monotonic() - this.seenAt;
    return this.meanShare * 0.5 ** (ageMs / HALF_LIFE_MS);
  }
}

/** Whether any larger model could answer instead of one so sure. */
export function isUnsure(confidence: number): boolean {
  return confidence < ACCEPT_FROM;
}

/** Whether a larger model than this one may answer. */
export function hasLarger(
  models: readonly string[],
  model: string | null,
): boolean {
  return model !== null && model !== models.at(-1);
}
