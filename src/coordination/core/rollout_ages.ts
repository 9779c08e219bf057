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

interface FirstObservation {
  /** When it was first seen, on the steady clock. */
  readonly observedAt: number;
  /** Its age at that time, in ms. */
  readonly ageMs: number;
}

export class RolloutAges {
  private readonly observations = new Map<string, FirstObservation>();
  private lastObservedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Takes in the roll-outs that are known now; call it again and again. */
  observe(rollouts: readonly ServiceRollout[]): void {
    const now = this.clock.monotonic();
    const hadGap = now - this.lastObservedAt > MAX_GAP_MS;
    this.lastObservedAt = now;
    const keys = new Set(rollouts.map(createKey));
    for (const key of this.observations.keys()) {
      if (!keys.has(key)) this.observations.delete(key);
    }
    for (const rollout of rollouts) {
      const key = createKey(rollout);
      if (this.observations.has(key)) continue;
      const ageMs = hadGap ? this.estimateAgeMs(rollout) : 0;
      this.observations.set(key, {observedAt: now, ageMs});
    }
  }

  /** How long a roll-out that was observed has run, in ms. */
  getAgeMs(rollout: ServiceRollout): number {
    const first = this.observations.get(createKey(rollout));
    if (!first) return this.estimateAgeMs(rollout);
    return first.ageMs + this.clock.monotonic() - first.observedAt;
  }

  private estimateAgeMs({beganAtMs, durationMs}: ServiceRollout): number {
    const ageMs = this.clock.now() - beganAtMs;
    return Math.min(durationMs, Math.max(0, ageMs));
  }
}

function createKey({service, target, beganAtMs}: ServiceRollout): string {
  return `${service}\n${target}\n${beganAtMs}`;
}
