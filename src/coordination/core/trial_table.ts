/** The permitted requests with suspected prompt parts, one a part. */
import type {Clock} from '../../protocol/clock.ts';
import type {TrialRequest} from '../../protocol/suspect_part.ts';
import {createPartKey} from '../forwarding/suspect_table.ts';

/** How long a trial may go on without a result, in ms. */
const TRIAL_MS = 2_000;

/** The most trials that are open. */
const MAX_TRIALS = 1_024;

export class TrialTable {
  /** When the permission ends, by part. */
  private readonly openUntil = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Permits a request unless another one with a part of it is open. */
  tryOpen({service, parts}: TrialRequest): boolean {
    const now = this.clock.monotonic();
    for (const [key, until] of this.openUntil) {
      if (until <= now) this.openUntil.delete(key);
    }
    const keys = parts.map(part => createPartKey(service, part));
    if (keys.some(key => this.openUntil.has(key))) return false;
    if (this.openUntil.size + keys.length > MAX_TRIALS) return false;
    for (const key of keys) this.openUntil.set(key, now + TRIAL_MS);
    return true;
  }

  /** Ends the trial of a part whose result is known. */
  release(key: string): void {
    this.openUntil.delete(key);
  }
}
