/** The permitted requests that are or have suspects, one a suspect. */
import type {Clock} from '../../protocol/clock.ts';
import {listTrialSuspects, type TrialRequest} from '../../protocol/suspect.ts';
import {createSuspectKey} from './suspect_table.ts';

/** How long a trial may go on without a result, in ms. */
const TRIAL_MS = 2_000;

/** The most trials that are open. */
const MAX_TRIALS = 1_024;

interface OpenTrial {
  readonly id: number;
  /** When the permission ends, on the monotonic clock. */
  readonly until: number;
}

/** The suspects of a trial. */
export type TrialSuspects = Pick<
  TrialRequest,
  'service' | 'parts' | 'identity'
>;

export class TrialTable {
  private readonly open = new Map<string, OpenTrial>();
  private lastId = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Permits a request unless another one with a suspect of it is open.
   *
   * @returns The id of the trial; `null` without a permission.
   */
  tryOpen(suspects: TrialSuspects): number | null {
    const now = this.clock.monotonic();
    for (const [key, {until}] of this.open) {
      if (until <= now) this.open.delete(key);
    }
    const keys = listKeys(suspects);
    if (keys.some(key => this.open.has(key))) return null;
    if (this.open.size + keys.length > MAX_TRIALS) return null;
    const id = this.createId();
    for (const key of keys) this.open.set(key, {id, until: now + TRIAL_MS});
    return id;
  }

  /** Ends the trial of a suspect whose result is known. */
  release(key: string): void {
    this.open.delete(key);
  }

  /** Ends a trial. A later one of the same suspects goes on. */
  finish(trial: number, suspects: TrialSuspects): void {
    for (const key of listKeys(suspects)) {
      if (this.open.get(key)?.id === trial) this.open.delete(key);
    }
  }

  /** Creates an id that differs from those before a restart. */
  private createId(): number {
    this.lastId = Math.max(this.lastId + 1, Math.floor(this.clock.now()));
    return this.lastId;
  }
}

function listKeys(suspects: TrialSuspects): string[] {
  return listTrialSuspects(suspects).map(id =>
    createSuspectKey(suspects.service, id),
  );
}
