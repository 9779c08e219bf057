/**
 * Measures how long roll-outs have run, independently of wall-clock jumps.
 *
 * A daemon that observed the start of a roll-out measures its age on the
 * monotonic clock. One that started later, or had a gap in its observations,
 * estimates the age once from the wall clock and measures on from there.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {ServiceRollout} from '../../protocol/core_service.ts';

/**
 * A roll-out that is new since the previous observation counts as just begun
 * if that observation is no older than this.
 */
const MAX_GAP_MS = 1_000;

interface FirstObservation {
  /** On the monotonic clock. */
  readonly observedAt: number;
  /** Its age at that time, in ms. */
  readonly ageMs: number;
}

export class RolloutAges {
  private readonly observations = new Map<string, FirstObservation>();
  private lastObservedAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Records the roll-outs that run now; call it at least once a second. */
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

  /** Returns how long a roll-out has run, in ms. */
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
