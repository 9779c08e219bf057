/** What a gateway learns of one endpoint from its own attempts. */
import type {Clock} from '../../protocol/clock.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';

/** The weight of one attempt in the running means. */
const SAMPLE_WEIGHT = 0.15;

/** Past counts in flight that are kept, to match load reports with. */
const HISTORY_LENGTH = 128;

/** How fast a lone bad impression of an endpoint fades. */
const LATENCY_HALF_LIFE_MS = 10_000;

/** The share of a reading that may be put down to the queue. */
const LARGEST_QUEUE_SHARE = 0.8;

/** Statistics of one incarnation of an endpoint. */
export class EndpointStats {
  /** First-token times relative to what is usual in their groups. */
  private relativeLatency = 1;
  private relativeLatencyAt = -Infinity;
  /** The mean time of a whole attempt; 0 before the first. */
  holdMs = 0;
  private readonly times: number[] = [];
  private readonly counts: number[] = [];
  readonly firstSeenAt: number;

  constructor(
    readonly endpoint: Endpoint,
    private readonly clock: Pick<Clock, 'monotonic'>,
  ) {
    this.firstSeenAt = clock.monotonic();
  }

  /** Changes the attempts in flight by one. */
  addInFlight(change: 1 | -1): void {
    this.endpoint.inFlight += change;
    this.times.push(this.clock.monotonic());
    this.counts.push(this.endpoint.inFlight);
    if (this.times.length <= HISTORY_LENGTH) return;
    this.times.shift();
    this.counts.shift();
  }

  /**
   * Estimates the requests at the endpoint now: the report, less what this
   * gateway had there when it was taken, plus what it has there now.
   */
  estimateLoad(): number {
    const {inFlight} = this.endpoint;
    return this.estimateOtherLoad() + inFlight;
  }

  /** Estimates the requests that other gateways have there. */
  estimateOtherLoad(): number {
    const {load, loadTakenAt} = this.endpoint;
    if (!load) return 0;
    const own = this.findOwnInFlightAt(loadTakenAt);
    return Math.max(0, load.running + load.waiting - own);
  }

  /**
   * Notes a first token after `ms`, with `load` requests before it, where
   * `usualMs` is usual for an idle endpoint. Returns what it would have been
   * on an idle endpoint.
   */
  recordFirstToken(
    ms: number,
    load: number,
    baselineMs: number | null,
  ): number {
    const queuedMs = Math.min(
      this.estimateQueueMs(load),
      ms * LARGEST_QUEUE_SHARE,
    );
    const idleMs = (ms - queuedMs) / this.estimateLoadSlowdown(load);
    const ratio = baselineMs === null ? 1 : idleMs / Math.max(1, baselineMs);
    this.relativeLatency += (ratio - this.relativeLatency) * SAMPLE_WEIGHT;
    this.relativeLatencyAt = this.clock.monotonic();
    return idleMs;
  }

  recordHold(ms: number): void {
    this.holdMs = updateMean(this.holdMs, ms);
  }

  /**
   * How slow the endpoint is against its group; an old impression fades, so
   * that an endpoint is tried again.
   */
  estimateRelativeLatency(): number {
    const ageMs = this.clock.monotonic() - this.relativeLatencyAt;
    const weight = 0.5 ** (ageMs / LATENCY_HALF_LIFE_MS);
    return 1 + (this.relativeLatency - 1) * weight;
  }

  /** How much `load` requests slow the next one down, from 1 to 2. */
  estimateLoadSlowdown(load: number): number {
    return 1 + Math.min(1, load / this.endpoint.slots);
  }

  /** The expected wait for a slot with `load` requests before. */
  estimateQueueMs(load: number): number {
    const {slots} = this.endpoint;
    const before = Math.max(0, load + 1 - slots);
    return (before * this.holdMs) / slots;
  }

  private findOwnInFlightAt(time: number): number {
    for (let index = this.times.length - 1; index >= 0; index--) {
      if ((this.times[index] ?? 0) <= time) return this.counts[index] ?? 0;
    }
    // Before the first change that is kept, one less or more than after it.
    return this.times.length === HISTORY_LENGTH ? (this.counts[0] ?? 0) : 0;
  }
}

function updateMean(mean: number, sample: number): number {
  return mean === 0 ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
}
