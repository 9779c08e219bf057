/**
 * How much of a core daemon's list of endpoints its disk holds.
 *
 * The disk holds the list up to a revision, by the last saved view and by the journal
 * of what changed since. One write saves all changes until then, however many
 * departures wait for it; those of later changes join the next write.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointReport} from '../../protocol/endpoint_report.ts';
import {
  dropSilentFlag,
  type EndpointRegistry,
} from '../core/endpoint_registry.ts';
import {createNotifier, type Notifier} from '../notifier.ts';

/** Where changes are written until a view has them. */
export interface ChangeJournal {
  readonly isEmpty: boolean;
  /** Appends reports; resolves to whether the disk holds them. */
  append(reports: readonly EndpointReport[]): Promise<boolean>;
  /** Empties it; resolves to whether that succeeded. */
  clear(): Promise<boolean>;
}

export interface SavedEndpointsOptions {
  readonly clock: Clock;
  /** The list, with nothing yet but what the disk holds. */
  readonly endpoints: EndpointRegistry;
  readonly journal: ChangeJournal;
}

export class SavedEndpoints {
  /** Notified when the disk holds more. */
  readonly saves: Notifier;
  private savedRevision: number;
  /** The last revision in the journal, and in the saved view. */
  private journalRevision: number;
  private viewRevision = -1;
  private isDue = false;
  private isWriting = false;

  constructor(private readonly options: SavedEndpointsOptions) {
    this.saves = createNotifier(options.clock);
    this.savedRevision = options.endpoints.revision;
    this.journalRevision = options.endpoints.revision;
  }

  /** The revision of the list up to which the disk holds it. */
  get revision(): number {
    return this.savedRevision;
  }

  /** Begins to save what the list has now. */
  saveSoon(): void {
    this.isDue = true;
    void this.runWrites();
  }

  /** Records that the disk holds a view with the list up to a revision. */
  recordView(revision: number): void {
    this.viewRevision = Math.max(this.viewRevision, revision);
    this.recordSaved(revision);
    void this.runWrites();
  }

  private recordSaved(revision: number): void {
    if (revision <= this.savedRevision) return;
    this.savedRevision = revision;
    this.saves.notify();
  }

  private async runWrites(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    let hasWritten = true;
    while (hasWritten) hasWritten = await this.writeOnce();
    this.isWriting = false;
  }

  /** Writes what is due; false if that is nothing, or failed. */
  private async writeOnce(): Promise<boolean> {
    const {endpoints, journal} = this.options;
    const {revision} = endpoints;
    const isAppendDue = this.isDue && revision > this.savedRevision;
    this.isDue = false;
    if (isAppendDue) {
      const changed = endpoints.list(this.savedRevision);
      if (!(await journal.append(changed.map(dropSilentFlag)))) return false;
      this.journalRevision = revision;
      this.recordSaved(revision);
      return true;
    }
    if (journal.isEmpty || this.journalRevision > this.viewRevision) {
      return false;
    }
    return journal.clear();
  }
}
