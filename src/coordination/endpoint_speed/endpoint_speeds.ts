/**
 * Estimates how long work takes at each endpoint, in relation to the usual time.
 *
 * It is learned for each start of an endpoint from the time until its answers
 * began, and corrected for a moment by the work time that it reports. Services
 * whose endpoints report none have endpoints that are all alike: they keep the
 * factor 1.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {ReportedLoad} from '../forwarding/call.ts';
import {LoadReading} from './load_reading.ts';
import {
  TimeFactorEstimator,
  USUAL_TIME,
  type TimeFactor,
} from './time_factor.ts';
import {UsualTimes} from './usual_times.ts';

/** The requests that are open at an endpoint. */
export interface OpenRequests {
  /** Those of this gateway. */
  readonly own: number;
  /** Those of other gateways, as they reported. */
  readonly others: number;
}

export interface BegunAnswer {
  /** The time until it began, in ms. */
  readonly ms: number;
  /**
   * The time until it began at an endpoint of usual speed, in ms; the usual time
   * of the route if `null`.
   */
  readonly expectedMs: number | null;
  /** The service and route, which distinguish usual times. */
  readonly route: string;
  /** Whether it may have waited in a queue; it then says nothing of the speed. */
  readonly hasWaited: boolean;
}

interface SpeedState {
  readonly startedAtMs: number;
  readonly learned: TimeFactorEstimator;
  readonly reading: LoadReading;
}

export class EndpointSpeeds {
  private readonly states = new Map<string, SpeedState>();
  private readonly reportingServices = new Set<string>();
  private readonly usualTimes = new UsualTimes();

  constructor(private readonly clock: Clock) {}

  /** Whether an endpoint of a service has reported its work time. */
  isReported(service: string): boolean {
    return this.reportingServices.has(service);
  }

  /** Records the load that an answer reported. */
  recordLoad(
    endpoint: EndpointEntry,
    load: ReportedLoad,
    ownOpen: number,
  ): void {
    if (load.workPercent === undefined) return;
    this.reportingServices.add(endpoint.service);
    const {reading} = this.getOrCreate(endpoint);
    reading.record(load, this.clock.monotonic(), ownOpen);
  }

  /** Learns from an answer that has begun, after the load that it reported. */
  recordBegin(endpoint: EndpointEntry, answer: BegunAnswer): void {
    const {ms, expectedMs, route, hasWaited} = answer;
    if (!this.isReported(endpoint.service) || hasWaited) return;
    const now = this.clock.monotonic();
    const {learned, reading} = this.getOrCreate(endpoint);
    const workMs = Math.max(1, ms) / reading.estimateTime(ms, now).factor;
    const usualMs = expectedMs ?? this.usualTimes.record(route, workMs);
    if (usualMs === null) return;
    learned.record(workMs / Math.max(1, usualMs), now);
  }

  /** Estimates how long work takes there that usually takes `workMs`. */
  estimate(endpoint: EndpointEntry, workMs: number): TimeFactor {
    if (!this.isReported(endpoint.service)) return USUAL_TIME;
    const now = this.clock.monotonic();
    const state = this.find(endpoint);
    if (!state) return new TimeFactorEstimator().estimate(now);
    const learned = state.learned.estimate(now);
    const current = state.reading.estimateTime(workMs, now);
    return {
      factor: learned.factor * current.factor,
      spread: Math.hypot(
        learned.spread * current.factor,
        current.spread * learned.factor,
      ),
    };
  }

  /** Estimates the requests that are open at an endpoint. */
  estimateOpen(endpoint: EndpointEntry, {own, others}: OpenRequests): number {
    const state = this.find(endpoint);
    if (!state) return own + others;
    return state.reading.estimateOpen(own, others, this.clock.monotonic());
  }

  /** Drops starts that have ended: another is known, or none. */
  pruneEnded(find: (id: string) => EndpointEntry | null): void {
    for (const [id, {startedAtMs}] of this.states) {
      if (find(id)?.startedAtMs !== startedAtMs) this.states.delete(id);
    }
  }

  private find({id, startedAtMs}: EndpointEntry): SpeedState | null {
    const known = this.states.get(id);
    return known?.startedAtMs === startedAtMs ? known : null;
  }

  private getOrCreate(endpoint: EndpointEntry): SpeedState {
    const known = this.find(endpoint);
    if (known) return known;
    const created = {
      startedAtMs: endpoint.startedAtMs,
      learned: new TimeFactorEstimator(),
      reading: new LoadReading(),
    };
    this.states.set(endpoint.id, created);
    return created;
  }
}
