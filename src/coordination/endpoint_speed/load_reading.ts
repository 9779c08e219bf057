/**
 * The last load that an endpoint reported, and what it is worth as it ages.
 *
 * Neighbours slow an endpoint for some 600 ms, so a reading that comes at any
 * time of that holds for half of it on average.
 */
import type {ReportedLoad} from '../forwarding/call.ts';
import {USUAL_TIME, type TimeFactor} from './time_factor.ts';

/** How long a reading of the work time holds on average, in ms. */
const WORK_HOLDS_MS = 300;

/** How long a reading of the requests there holds on average, in ms. */
const REQUESTS_HOLD_MS = 500;

/** The step by which a reading moves the usual value of its endpoint. */
const USUAL_STEP = 0.02;

/** Bounds of a reading in relation to the usual value. */
const MIN_RATIO = 0.25;
const MAX_RATIO = 8;

export class LoadReading {
  /**
   * The median of the reported values. An endpoint that is always slow may
   * report that, and it is learned from its answers already.
   */
  private usualPercent = 100;
  private ratio = 1;
  private requests = 0;
  private ownOpen = 0;
  /** Whether reports count the request whose answer carries them. */
  private countsAnswered = true;
  private recordedAt = -Infinity;

  /**
   * Records what an answer reported; without a work time it changes nothing.
   *
   * @param ownOpen The requests that this gateway had open there.
   */
  record(load: ReportedLoad, now: number, ownOpen: number): void {
    const {running, waiting, workPercent} = load;
    if (workPercent === undefined || !(workPercent > 0)) return;
    if (workPercent > this.usualPercent * (1 + USUAL_STEP)) {
      this.usualPercent *= 1 + USUAL_STEP;
    } else if (workPercent < this.usualPercent / (1 + USUAL_STEP)) {
      this.usualPercent /= 1 + USUAL_STEP;
    }
    const ratio = workPercent / this.usualPercent;
    const isUsual = Math.abs(ratio - 1) <= USUAL_STEP;
    this.ratio = isUsual ? 1 : Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
    this.requests = running + waiting;
    if (this.requests === 0) this.countsAnswered = false;
    this.ownOpen = this.countsAnswered ? ownOpen : Math.max(0, ownOpen - 1);
    this.recordedAt = now;
  }

  /** Returns the factor of work that takes a time from now on, in ms. */
  estimateTime(workMs: number, now: number): TimeFactor {
    if (this.ratio === 1) return USUAL_TIME;
    const holds = Math.exp((this.recordedAt - now) / WORK_HOLDS_MS);
    // The reading may end to hold while the work is done.
    const share =
      workMs > 0
        ? (WORK_HOLDS_MS / workMs) * (1 - Math.exp(-workMs / WORK_HOLDS_MS))
        : 1;
    const excess = (this.ratio - 1) * share;
    return {
      factor: 1 + excess * holds,
      spread: Math.abs(excess) * Math.sqrt(holds * (1 - holds)),
    };
  }

  /**
   * Estimates the requests there: those reported and those that this gateway
   * sent since, and ever more the ones that gateways know to be open.
   *
   * @param own The requests that this gateway has open there.
   * @param others Those of other gateways, as they reported.
   */
  estimateOpen(own: number, others: number, now: number): number {
    const holds = Math.exp((this.recordedAt - now) / REQUESTS_HOLD_MS);
    if (holds === 0) return own + others;
    const reported = Math.max(own, this.requests + own - this.ownOpen);
    return reported * holds + (own + others) * (1 - holds);
  }
}
