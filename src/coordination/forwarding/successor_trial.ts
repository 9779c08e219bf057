/**
 * Asks for the permission to move an answer that is or has suspects away from a
 * silent endpoint.
 *
 * The answer stays at its endpoint meanwhile. A permission that cannot be used at
 * once is given back, so that other requests with the suspects need not wait.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {Quarantine} from '../quarantine/quarantine.ts';
import type {CallRun, Trial} from './call_run.ts';

/** The pause before a permission is asked for again, in ms. */
const ASK_AGAIN_MS = 300;

export interface SuccessorTrialOptions {
  readonly clock: Clock;
  readonly quarantine: Pick<Quarantine, 'admit' | 'endTrial'>;
}

export class SuccessorTrial implements Disposable {
  private trial: Trial | null = null;
  private isAsking = false;
  private isNeeded = false;
  private askAt = -Infinity;

  constructor(
    private readonly options: SuccessorTrialOptions,
    private readonly run: CallRun,
  ) {}

  get isGranted(): boolean {
    return this.trial !== null;
  }

  /** Asks for the permission, unless it was asked for a moment ago. */
  ask(): void {
    this.isNeeded = true;
    if (this.isAsking || this.isGranted) return;
    if (this.options.clock.monotonic() < this.askAt) return;
    this.isAsking = true;
    void this.request();
  }

  /** Removes and returns the permission; `null` if there is none. */
  take(): Trial | null {
    const {trial} = this;
    this.trial = null;
    return trial;
  }

  /** Gives the permission back; one that is on its way as well. */
  release(): void {
    this.isNeeded = false;
    const trial = this.take();
    if (trial) this.options.quarantine.endTrial(this.run, trial);
  }

  [Symbol.dispose](): void {
    this.release();
  }

  private async request(): Promise<void> {
    const {clock, quarantine} = this.options;
    const permission = await quarantine.admit(this.run);
    this.isAsking = false;
    this.askAt = clock.monotonic() + ASK_AGAIN_MS;
    if (permission.type !== 'trial') return;
    this.trial = permission.trial;
    if (!this.isNeeded) this.release();
  }
}
