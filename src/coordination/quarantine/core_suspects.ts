/** The suspects that a core daemon knows, the verdicts on them and their trials. */
import type {Clock} from '../../protocol/clock.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {EntryMeter} from '../core/entry_meter.ts';
import {
  listTrialSuspects,
  type SuspectRecord,
  type TrialReply,
  type TrialRequest,
  type TrialResult,
} from '../../protocol/suspect.ts';
import {RevisedMap} from '../revised_map.ts';
import {SharedSuspects} from './shared_suspects.ts';
import {
  createSuspectKey,
  SuspectTable,
  type SuspectChange,
} from './suspect_table.ts';
import {TrialTable} from './trial_table.ts';

/** The interval at which gateways are told of changed records of parts. */
const PUBLISH_INTERVAL_MS = 50;

/** The interval at which verdicts that wait for confirmations are decided. */
const VERDICT_INTERVAL_MS = 250;

export interface CoreSuspectsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lists the starts of a service's endpoints that are taken to run. */
  readonly listStarts: (service: string) => readonly string[];
  /** Called when gateways need to know of a change. */
  readonly onChange: () => void;
  /** Called when a change must reach the other daemons without delay. */
  readonly onUrgent: () => void;
  /** Counts what is told, and what of it is new; by default nothing does. */
  readonly entries?: EntryMeter | undefined;
}

export class CoreSuspects {
  readonly table: SuspectTable;
  readonly shared: SharedSuspects;
  readonly trials: TrialTable;
  /** The keys of suspects of which gateways told this daemon. */
  private readonly own = new RevisedMap<true>();
  /** The revision of suspected prompt parts that gateways are told at once. */
  private published = 0;
  private isPublishing = false;
  private isDeciding = false;

  constructor(private readonly options: CoreSuspectsOptions) {
    const {clock, listStarts} = options;
    this.table = new SuspectTable({clock, listStarts, condemns: true});
    this.shared = new SharedSuspects(this.table);
    this.trials = new TrialTable(clock);
  }

  /** The last revision of suspected prompt parts that is due to gateways. */
  get dueRevision(): number {
    return this.published;
  }

  /** Increases with each change of which a gateway told this daemon. */
  get ownRevision(): number {
    return this.own.revision;
  }

  /** Lists the records of which gateways told this daemon after a revision. */
  listOwn(after: number): SuspectRecord[] {
    return this.own.list(after).flatMap(([key]) => {
      const suspect = this.table.get(key);
      return suspect ? [this.table.encode(suspect)] : [];
    });
  }

  /** Drops records that no longer matter. */
  expire(): void {
    this.table.expire();
    this.shared.prune();
    for (const [key] of [...this.own]) {
      if (this.table.get(key) === null) this.own.delete(key);
    }
  }

  /** Records a sign of life of a start of an endpoint, of which all daemons hear. */
  recordAlive(start: string, aliveAt: number): void {
    if (this.table.isEmpty) return;
    this.apply(this.table.recordAlive(start, aliveAt), {isOwn: false});
  }

  /**
   * Merges records that another daemon told, or that were saved.
   *
   * @param receivedAt When their ages were measured, on the monotonic clock.
   */
  merge(records: readonly SuspectRecord[], receivedAt: number): void {
    this.apply(this.mergeRecords(records, receivedAt), {isOwn: false});
  }

  /** Merges records that a gateway told this daemon, which tells the others. */
  record(records: readonly SuspectRecord[], receivedAt: number): void {
    this.apply(this.mergeRecords(records, receivedAt), {isOwn: true});
  }

  private mergeRecords(
    records: readonly SuspectRecord[],
    receivedAt: number,
  ): SuspectChange[] {
    const changes = this.table.merge(records, receivedAt);
    this.options.entries?.record('suspects', {
      told: records.length,
      changed: changes.length,
    });
    return changes;
  }

  private apply(
    changes: readonly SuspectChange[],
    {isOwn}: {readonly isOwn: boolean},
  ): void {
    if (changes.length === 0) return;
    void this.runVerdicts();
    this.logVerdicts(changes);
    for (const {suspect, previousLevel} of changes) {
      // Requests sent before the trial may still crash; they change no level.
      if (suspect.level === previousLevel) continue;
      this.trials.release(createSuspectKey(suspect.service, suspect));
    }
    if (isOwn) {
      for (const {suspect} of changes) {
        this.own.set(createSuspectKey(suspect.service, suspect), true);
      }
    }
    if (this.shared.select(changes).length === 0) return;
    if (isOwn) this.options.onUrgent();
    this.publish();
  }

  /** Decides about suspects while they wait for the confirmation of crashes. */
  private async runVerdicts(): Promise<void> {
    if (this.isDeciding) return;
    this.isDeciding = true;
    while (this.table.hasPending) {
      await this.options.clock.sleep(VERDICT_INTERVAL_MS);
      // Each daemon decides on the same records.
      this.apply(this.table.decide(), {isOwn: false});
    }
    this.isDeciding = false;
  }

  private logVerdicts(changes: readonly SuspectChange[]): void {
    for (const {suspect, isNewVerdict} of changes) {
      if (!isNewVerdict) continue;
      const {service, kind, part, level, crashes} = suspect;
      this.options.logger.info('Condemns what crashes endpoints.', {
        service,
        kind,
        suspect: part,
        chain: level,
        endpoints: [...crashes.keys()],
      });
    }
  }

  /** Lets gateways know of changed records, at most once an interval. */
  private publish(): void {
    if (this.isPublishing) return;
    this.isPublishing = true;
    this.published = this.table.revision;
    this.options.onChange();
    void this.options.clock.sleep(PUBLISH_INTERVAL_MS).then(() => {
      this.isPublishing = false;
      if (this.table.revision > this.published) {
        this.publish();
      }
    });
  }

  /** Permits one request with suspected parts, unless another one runs. */
  openTrial({suspects, ...request}: TrialRequest): TrialReply {
    // The crash that the request follows must not end its trial when another
    // daemon relays it later.
    this.record(suspects, this.options.clock.monotonic());
    const isPending = listTrialSuspects(request).some(id => {
      const suspect = this.table.find(request.service, id);
      return suspect !== null && this.table.isPending(suspect);
    });
    const trial = isPending ? null : this.trials.tryOpen(request);
    return {
      isGranted: trial !== null,
      ...(trial === null ? {} : {trial}),
      suspects: listTrialSuspects(request).flatMap(id => {
        const suspect = this.table.find(request.service, id);
        return suspect ? [this.table.encode(suspect)] : [];
      }),
    };
  }

  /** Merges what the request of a trial showed, then permits the next one. */
  finishTrial({suspects, trial, ...request}: TrialResult): void {
    this.record(suspects, this.options.clock.monotonic());
    if (trial !== undefined) this.trials.finish(trial, request);
  }
}
