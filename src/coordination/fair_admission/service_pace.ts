/**
 * The pace at which this gateway may send requests to one service.
 *
 * There is no limit until requests show that the service is short of room: no
 * endpoint takes them, or they wait for too much of their objective. The pace then
 * falls in proportion to such requests and rises otherwise, but not below what is
 * accepted, so that gateways find their parts without messages.
 */
import {DecayingRate} from './decaying_rate.ts';

/** The weight of the newest attempt in the moving averages. */
const ATTEMPT_WEIGHT = 0.1;

/** The time in which the averages fall without attempts to 1/e. */
const FORGET_MS = 500;

/** Late attempts at which the pace neither rises nor falls. */
const LATE_SHARE = 0.1;

/**
 * Requests that no endpoint took, also not after retries, at which the pace neither
 * rises nor falls. Gateways choose by reports that are up to a second old, so some
 * requests meet full endpoints while others have room.
 */
const REFUSED_SHARE = 0.05;

/** How far the shares exceed the steady ones before there is a pace. */
const BEGIN_MARGIN = 0.1;

/** Bad attempts that are needed before there is a pace. */
const MIN_ATTEMPTS = 4;

/** The interval at which the pace changes. */
const STEP_MS = 100;

/** Part of the pace lost per step if no attempt finds room. */
const FALL = 0.2;

/** Growth per step while attempts find room. */
const RISE = 0.03;

/** The same once nothing was refused or late for a while. */
const FAST_RISE = 0.1;
const FAST_AFTER_MS = 500;

/** The pace stays above what is accepted by this factor, to find new room. */
const ABOVE_ACCEPTED = 1.05;

/** The lowest pace, in requests per second: probes that find new room. */
const MIN_PER_SECOND = 1;

/** The window over which accepted attempts are counted. */
const ACCEPTED_WINDOW_MS = 1_000;

/** Requests that may go at once after a pause. */
const BURST = 2;

/** The pace ends when it exceeds the demand this many times. */
const ENOUGH = 1.5;

/**
 * What a request shows of the room at its service: an endpoint took it, none did, or
 * one took it and lets it wait for too long.
 */
export type RoomEvidence = 'accepted' | 'refused' | 'late';

export class ServicePace {
  private readonly accepted = new DecayingRate(ACCEPTED_WINDOW_MS);
  private refusedShare = 0;
  private lateShare = 0;
  private updatedAt = -Infinity;
  private badAttempts = 0;
  /** When a request was last refused or late. */
  private badAt = -Infinity;
  private rate = Infinity;
  private steppedAt = -Infinity;
  /** When the next request may go, on the monotonic clock. */
  private nextAt = -Infinity;

  /** Whether the pace limits requests. */
  get isPressed(): boolean {
    return this.rate < Infinity;
  }

  /** Requests per second; `Infinity` without a limit. */
  get perSecond(): number {
    return this.rate;
  }

  /** Records what a request shows. */
  record(evidence: RoomEvidence, now: number): void {
    this.forget(now);
    const isRefused = evidence === 'refused' ? 1 : 0;
    const isLate = evidence === 'late' ? 1 : 0;
    this.refusedShare += (isRefused - this.refusedShare) * ATTEMPT_WEIGHT;
    this.lateShare += (isLate - this.lateShare) * ATTEMPT_WEIGHT;
    if (evidence !== 'refused') this.accepted.add(1, now);
    if (evidence !== 'accepted') {
      this.badAttempts++;
      this.badAt = now;
    }
    const excess = this.computeExcess();
    if (excess <= 0) this.badAttempts = 0;
    if (this.isPressed || excess < BEGIN_MARGIN) return;
    if (this.badAttempts < MIN_ATTEMPTS) return;
    this.rate = this.computeLowest(now);
    this.steppedAt = now;
    this.nextAt = now;
  }

  /** Adapts the pace, at most once each {@linkcode STEP_MS}. */
  update(now: number, demandPerSecond: number): void {
    if (!this.isPressed) return;
    const steps = Math.floor((now - this.steppedAt) / STEP_MS);
    if (steps < 1) return;
    this.steppedAt += steps * STEP_MS;
    this.forget(now);
    const excess = this.computeExcess();
    const rise = now - this.badAt > FAST_AFTER_MS ? FAST_RISE : RISE;
    const factor = excess > 0 ? 1 - FALL * excess : 1 + rise;
    const rate = this.rate * factor ** steps;
    this.rate = Math.max(rate, this.computeLowest(now));
    if (excess > 0 || this.rate < ENOUGH * demandPerSecond) return;
    this.rate = Infinity;
  }

  /** The time until the next request may go, in ms. */
  getWaitMs(now: number): number {
    if (!this.isPressed) return 0;
    return Math.max(0, this.nextAt - now);
  }

  /** Whether requests were fewer than the pace allows. */
  isIdle(now: number): boolean {
    return !this.isPressed || this.nextAt <= now - this.measureBurstMs();
  }

  /** Records that a request goes. */
  take(now: number): void {
    if (!this.isPressed) return;
    const earliest = now - this.measureBurstMs();
    this.nextAt = Math.max(this.nextAt, earliest) + 1_000 / this.rate;
  }

  /** By how much the bad attempts exceed the steady share; below 0 if there is room. */
  private computeExcess(): number {
    const refusedExcess = this.refusedShare - REFUSED_SHARE;
    return Math.max(refusedExcess, this.lateShare - LATE_SHARE);
  }

  /** The pace that is certainly not too high, in requests per second. */
  private computeLowest(now: number): number {
    // Late attempts were accepted by endpoints that have too much to do.
    const factor = ABOVE_ACCEPTED * (1 - this.lateShare);
    return Math.max(MIN_PER_SECOND, this.accepted.getPerSecond(now) * factor);
  }

  private forget(now: number): void {
    const factor = Math.exp(-Math.max(0, now - this.updatedAt) / FORGET_MS);
    // Averages over attempts need no decay while attempts go on.
    this.refusedShare *= factor;
    this.lateShare *= factor;
    this.updatedAt = now;
  }

  private measureBurstMs(): number {
    return ((BURST - 1) * 1_000) / this.rate;
  }
}
