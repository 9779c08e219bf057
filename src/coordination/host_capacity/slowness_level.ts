/**
 * Turns what single windows show into a level that other processes can act on.
 *
 * Each change moves load and is told to all gateways. A level is therefore raised
 * after two windows in a row, and lowered only after some time without it; that time
 * doubles with each return, since load that comes back may make the host slow again.
 */
import type {HostSlowness} from './evaluate_slowness.ts';

/** How long a lower level must hold before it is in force, at first and at most. */
const LOWER_AFTER_MS = 3_000;
const LOWER_AFTER_MAX_MS = 24_000;

/** A level that is raised within this time after it was lowered has returned. */
const RETURN_WITHIN_MS = 30_000;

export class SlownessLevel {
  private inForce: HostSlowness = {level: 0, cause: null};
  private last: HostSlowness = {level: 0, cause: null};
  /** The highest level of the windows since it could have been lowered. */
  private highestSince: HostSlowness = {level: 0, cause: null};
  private lowerSince: number | null = null;
  private loweredAt = -Infinity;
  private lowerAfterMs = LOWER_AFTER_MS;

  /** The level in force. */
  get current(): HostSlowness {
    return this.inForce;
  }

  /** Records what a window showed; returns whether the level in force changed. */
  record(shown: HostSlowness, nowMs: number): boolean {
    const confirmed = shown.level < this.last.level ? shown : this.last;
    this.last = shown;
    if (confirmed.level > this.inForce.level) {
      return this.raise(confirmed, nowMs);
    }
    if (shown.level >= this.inForce.level) {
      this.lowerSince = null;
      return false;
    }
    if (this.lowerSince === null) {
      this.lowerSince = nowMs;
      this.highestSince = shown;
    }
    if (shown.level > this.highestSince.level) this.highestSince = shown;
    if (nowMs - this.lowerSince < this.lowerAfterMs) return false;
    this.inForce = this.highestSince;
    this.lowerSince = null;
    this.loweredAt = nowMs;
    return true;
  }

  private raise(next: HostSlowness, nowMs: number): boolean {
    const isReturn = nowMs - this.loweredAt < RETURN_WITHIN_MS;
    this.lowerAfterMs = isReturn
      ? Math.min(LOWER_AFTER_MAX_MS, this.lowerAfterMs * 2)
      : LOWER_AFTER_MS;
    this.inForce = next;
    this.lowerSince = null;
    return true;
  }
}
