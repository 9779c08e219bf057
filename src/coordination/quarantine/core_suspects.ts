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
import {SharedSuspects} from './shared_suspects.ts';
import {isShared} from './suspect.ts';
import {
  CONDEMN_LEVEL,
  createSuspectKey,
  SuspectTable,
  type SuspectChange,
} from './suspect_table.ts';
import {TrialTable} from './trial_table.ts';

/**
 * The interval at which gateways are told of what decides whether requests are sent,
 * and of other changes of suspects.
 */
const PUBLISH_INTERVAL_MS = 50;
const PUBLISH_OTHERS_MS = 500;

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
  /** When gateways told this daemon of suspects last, as revisions of the table. */
  private readonly own = new Map<string, number>();
  /** The revision of suspected prompt parts that gateways are told at once. */
  private published = 0;
  private publishedAt = -Infinity;
  /** When it is published next; `Infinity` while nothing is to be. */
  private publishAt = Infinity;
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

  /** Lists what gateways told this daemon after a revision of the table. */
  listOwn(after: number): SuspectRecord[] {
    return [...this.own]
      .filter(([, revision]) => revision > after)
      .flatMap(([key]) => this.table.encodeSince(key, after) ?? []);
  }

  /** Drops records that no longer matter. */
  expire(): void {
    this.table.expire();
    this.shared.prune();
    for (const key of this.own.keys()) {
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
        const key = createSuspectKey(suspect.service, suspect);
        this.own.set(key, this.table.revision);
      }
    }
    const shared = this.shared.select(changes);
    if (shared.length === 0) return;
    const hasDecisive = shared.some(each => isDecisive(each));
    if (isOwn && hasDecisive) this.options.onUrgent();
    this.publishWithin(hasDecisive ? PUBLISH_INTERVAL_MS : PUBLISH_OTHERS_MS);
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
  private publishWithin(intervalMs: number): void {
    const {clock} = this.options;
    const now = clock.monotonic();
    const dueAt = Math.max(now, this.publishedAt + intervalMs);
    if (dueAt >= this.publishAt) return;
    this.publishAt = dueAt;
    if (dueAt <= now) this.publish();
    else {
      void clock.sleep(dueAt - now).then(() => {
        if (this.publishAt === dueAt) this.publish();
      });
    }
  }

  private publish(): void {
    this.publishAt = Infinity;
    this.publishedAt = this.options.clock.monotonic();
    this.published = this.table.revision;
    this.options.onChange();
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

/**
 * Whether a change decides which requests are sent: a suspect becomes known to all,
 * its chain of crashes grows towards a verdict, or it is condemned. Further crashes,
 * and that it is cleared, are told with each trial that is requested.
 */
function isDecisive({
  suspect,
  previousLevel,
  wasShared,
  isNewVerdict,
}: SuspectChange): boolean {
  const isChainGrowing =
    suspect.level > previousLevel && previousLevel < CONDEMN_LEVEL;
  return isNewVerdict || isChainGrowing || (isShared(suspect) && !wasShared);
}
