/** What the disk of a simulated core daemon holds beside its log. */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import type {ChangeJournal} from '../confirmation/saved_endpoints.ts';
import type {CoreState} from '../core/core_state.ts';

/** How long a sync takes, in ms. */
const SYNC_MS = 2;

export interface DiskUser {
  readonly clock: Clock;
  /** Whether the process that writes has not been killed. */
  readonly isAlive: () => boolean;
}

export class SimulatedDisk {
  /** When syncs end that wait for it, on the monotonic clock. */
  stalledUntilMs = -Infinity;
  /** Whether it refuses writes. */
  isFull = false;
  private view: readonly EndpointReport[] = [];
  private journal: EndpointReport[] = [];

  /** Restores what it holds. */
  restore({endpoints}: CoreState): void {
    endpoints.restore(this.view);
    endpoints.restore(this.journal);
  }

  /** Saves the view of a daemon; returns the revision of its endpoints. */
  saveView(state: CoreState): number {
    this.view = state.listSavedReports();
    return state.endpoints.revision;
  }

  /** Creates the journal of one run of a daemon. */
  createJournal(user: DiskUser): ChangeJournal {
    const isEmpty = () => this.journal.length === 0;
    return {
      get isEmpty() {
        return isEmpty();
      },
      append: async reports => {
        const isSynced = await this.sync(user);
        if (isSynced) this.journal.push(...reports);
        return isSynced;
      },
      clear: async () => {
        const isSynced = await this.sync(user);
        if (isSynced) this.journal = [];
        return isSynced;
      },
    };
  }

  /** Loses what it holds. */
  erase(): void {
    this.view = [];
    this.journal = [];
  }

  private async sync({clock, isAlive}: DiskUser): Promise<boolean> {
    if (this.isFull) return false;
    const stalledMs = this.stalledUntilMs - clock.monotonic();
    await clock.sleep(Math.max(SYNC_MS, stalledMs));
    return isAlive();
  }
}
