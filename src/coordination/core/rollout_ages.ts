/**
 * Tells how long roll-outs have run, whatever becomes of the time of day.
 *
 * A daemon that saw a roll-out begin measures with its steady clock. One that
 * started later, or was away, goes by the time of day once, and measures from
 * there.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {ServiceRollout} from '../../protocol/core_service.ts';

/** Since when a roll-out must have been unknown to count as just begun. */
const MAX_GAP_MS = 1_000;

interface Seen {
  /** When it was first seen, on the steady clock. */
  readonly at: number;
  /** Its age at that time, in ms. */
  readonly ageMs: number;
}

export class RolloutAges {
  private readonly seen = new Map<string, Seen>();
  private observedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Takes in the roll-outs that are known now; call it again and again. */
  observe(rollouts: readonly ServiceRollout[]): void {
    const now = this.clock.monotonic();
    const wasAway = now - this.observedAt > MAX_GAP_MS;
    this.observedAt = now;
    const keys = new Set(rollouts.map(createKey));
    for (const key of this.seen.keys()) {
      if (!keys.has(key)) this.seen.delete(key);
    }
    for (const rollout of rollouts) {
      const key = createKey(rollout);
      if (this.seen.has(key)) continue;
      const ageMs = wasAway ? this.estimateAgeMs(rollout) : 0;
      this.seen.set(key, {at: now, ageMs});
    }
  }

  /** How long a roll-out that was observed has run, in ms. */
  getAgeMs(rollout: ServiceRollout): number {
    const seen = this.seen.get(createKey(rollout));
    if (!seen) return this.estimateAgeMs(rollout);
    return seen.ageMs + this.clock.monotonic() - seen.at;
  }

  private estimateAgeMs({beganAtMs, durationMs}: ServiceRollout): number {
    const ageMs = this.clock.now() - beganAtMs;
    return Math.min(durationMs, Math.max(0, ageMs));
  }
}

function createKey({service, target, beganAtMs}: ServiceRollout): string {
  return `${service}\n${target}\n${beganAtMs}`;
}
