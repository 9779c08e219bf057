/** Statistics that a gateway derives from its own attempts at an endpoint. */
import type {Clock} from '../../protocol/clock.ts';
import type {Endpoint} from '../membership/endpoint_table.ts';

/** The weight of one attempt in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.15;

/** Past in-flight counts kept, to subtract them from older load reports. */
const HISTORY_LENGTH = 128;

/** The half-life of the relative latency after the last measurement. */
const LATENCY_HALF_LIFE_MS = 10_000;

/** The largest share of a first-token time that is attributed to the queue. */
const LARGEST_QUEUE_SHARE = 0.8;

/** Statistics of one incarnation of an endpoint. */
export class EndpointStats {
  /** Mean of first-token times relative to the baseline of their groups. */
  private relativeLatency = 1;
  private relativeLatencyAt = -Infinity;
  /** The mean duration of an answered attempt; 0 before the first. */
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

  /** Changes the number of attempts in flight by one. */
  addInFlight(change: 1 | -1): void {
    this.endpoint.inFlight += change;
    this.times.push(this.clock.monotonic());
    this.counts.push(this.endpoint.inFlight);
    if (this.times.length <= HISTORY_LENGTH) return;
    this.times.shift();
    this.counts.shift();
  }

  /**
   * Estimates the requests currently at the endpoint: the reported load,
   * minus this gateway's requests at the time of the report, plus its current
   * ones.
   */
  estimateLoad(): number {
    const {inFlight} = this.endpoint;
    return this.estimateOtherLoad() + inFlight;
  }

  /** Estimates the requests of other gateways at the endpoint. */
  estimateOtherLoad(): number {
    const {load, loadTakenAt} = this.endpoint;
    if (!load) return 0;
    const own = this.findOwnInFlightAt(loadTakenAt);
    return Math.max(0, load.running + load.waiting - own);
  }

  /**
   * Records a first token after `ms` that was dispatched behind `load`
   * requests. `baselineMs` is the group's time on an idle endpoint. Returns
   * the time corrected to an idle endpoint.
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
   * Estimates the endpoint's latency relative to its group. Old measurements
   * decay towards 1, so that a slow endpoint is tried again.
   */
  estimateRelativeLatency(): number {
    const ageMs = this.clock.monotonic() - this.relativeLatencyAt;
    const weight = 0.5 ** (ageMs / LATENCY_HALF_LIFE_MS);
    return 1 + (this.relativeLatency - 1) * weight;
  }

  /** Estimates the slowdown by `load` other requests, as a factor of 1 to 2. */
  estimateLoadSlowdown(load: number): number {
    return 1 + Math.min(1, load / this.endpoint.slots);
  }

  /** Estimates the wait for a slot behind `load` requests. */
  estimateQueueMs(load: number): number {
    const {slots} = this.endpoint;
    const before = Math.max(0, load + 1 - slots);
    return (before * this.holdMs) / slots;
  }

  private findOwnInFlightAt(time: number): number {
    for (let index = this.times.length - 1; index >= 0; index--) {
      if ((this.times[index] ?? 0) <= time) return this.counts[index] ?? 0;
    }
    // The time precedes the history. If older counts were dropped, the oldest
    // kept one approximates it; the count just before differs by one only.
    return this.times.length === HISTORY_LENGTH ? (this.counts[0] ?? 0) : 0;
  }
}

function updateMean(mean: number, sample: number): number {
  return mean === 0 ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
}
