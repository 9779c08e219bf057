/**
 * Keeps requests and prompt parts that crash endpoints from further ones.
 *
 * An endpoint that ends takes all requests down that it works on, and each of
 * them, or a part of its prompt, may be the reason. Requests that are or have
 * suspects go to endpoints one at a time over all gateways, until one is
 * answered, which clears the suspect, or until it is condemned and its requests
 * are refused.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {
  SuspectId,
  SuspectRecord,
  TrialRequest,
} from '../../protocol/suspect.ts';
import type {CallRun, Trial} from '../forwarding/call_run.ts';
import type {ObservedSuspects} from '../gateway/report_differences.ts';
import {RevisedMap} from '../revised_map.ts';
import {CrashWatch} from './crash_watch.ts';
import {createStartKey} from './endpoint_ends.ts';
import type {TrialClient} from './trial_client.ts';
import {
  appliesTo,
  isShared,
  isStanding,
  type Crash,
  type Suspect,
} from './suspect.ts';
import {createSuspectKey, SuspectTable} from './suspect_table.ts';

/** Parts and requests of which a gateway remembers an answer. */
const MAX_SOUND = 4_096;

/** How long an answer speaks for a part that an engine ended with once, in ms. */
const SOUND_MS = 60_000;

/** How long an own observation is reported to the core, in ms. */
const REPORT_WITHIN_MS = 3_000;

/** Records of a report at most. */
const MAX_REPORTED = 64;

/** Suspects of one request that a crash makes at most. */
const MAX_CRASH_SUSPECTS = 64;

/** How often, and after how long, a denied trial is requested again. */
const TRIAL_ATTEMPTS = 4;
const TRIAL_RETRY_MS = 150;

/** Whether a request may be sent to an engine now. */
export type Permission =
  | {readonly type: 'free'}
  /** It is the only one with its suspects. */
  | {readonly type: 'trial'; readonly trial: Trial}
  | {readonly type: 'refused'; readonly isCondemned: boolean};

const FREE: Permission = {type: 'free'};

/** What is watched of a request. */
export interface WatchedRequest extends Pick<
  CallRun,
  'watchedParts' | 'listWatched'
> {
  readonly admitted: {
    readonly service: Pick<CallRun['admitted']['service'], 'name'>;
    readonly caller: CallRun['admitted']['caller'];
  };
}

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly trials: TrialClient;
  /** Lists the starts of a service's endpoints that are taken to run. */
  readonly listStarts?: (service: string) => readonly string[];
  /** Called when this gateway observed what others need to know at once. */
  readonly onObservation?: () => void;
}

export class Quarantine {
  private readonly table: SuspectTable;
  /** When suspects were last answered here; the latest ones come last. */
  private readonly soundAt = new Map<string, number>();
  /** When this gateway last observed something of a suspect, by its key. */
  private readonly observedAt = new RevisedMap<number>();
  /** Suspects of trials that this gateway permitted itself, by their keys. */
  private readonly ownTrials = new Set<string>();

  constructor(private readonly options: QuarantineOptions) {
    this.table = new SuspectTable(options);
  }

  /** Decides whether a request may be sent; asks the core if need be. */
  async admit(run: CallRun): Promise<Permission> {
    const {clock, trials, metrics} = this.options;
    const {name: service} = run.admitted.service;
    for (let attempt = 1; ; attempt++) {
      const suspects = this.listSuspects(run);
      if (suspects.length === 0) return FREE;
      if (this.isWithheld(run, suspects)) {
        metrics.count('prompt_trials', 1, {service, outcome: 'condemned'});
        return {type: 'refused', isCondemned: true};
      }
      if (suspects.some(each => this.table.isPending(each))) {
        metrics.count('prompt_trials', 1, {service, outcome: 'pending'});
        return {type: 'refused', isCondemned: false};
      }
      const reply = await trials.request({
        service,
        ...createTrialIds(suspects),
        suspects: this.listRecords(service, suspects),
      });
      const isGranted = reply?.isGranted ?? false;
      if (reply) this.recordRelayed(reply.suspects);
      metrics.count('prompt_trials', 1, {
        service,
        outcome: reply ? (isGranted ? 'granted' : 'denied') : 'no-answer',
      });
      // Callers of a gateway without contact to the core are not refused for a
      // single crash, but go to endpoints one at a time.
      const isOwn = !reply && this.openOwnTrial(service, suspects);
      if (isGranted || isOwn) {
        const trial = {id: reply?.trial, suspects};
        if (!this.isWithheld(run, this.listSuspects(run))) {
          return {type: 'trial', trial};
        }
        this.endTrial(run, trial);
        continue;
      }
      if (attempt >= TRIAL_ATTEMPTS || run.sends > 0) {
        return {type: 'refused', isCondemned: false};
      }
      await clock.sleep(TRIAL_RETRY_MS, run.call.signal);
    }
  }

  /** Permits a request without an answer of the core, unless another one runs. */
  private openOwnTrial(service: string, suspects: readonly Suspect[]): boolean {
    const keys = suspects.map(each => createSuspectKey(service, each));
    if (suspects.some(({level}) => level > 1)) return false;
    if (keys.some(key => this.ownTrials.has(key))) return false;
    for (const key of keys) this.ownTrials.add(key);
    return true;
  }

  /** Ends the trial of a request, after its attempt was watched. */
  finishTrial(run: CallRun): void {
    const {trial} = run;
    run.trial = null;
    if (trial) this.endTrial(run, trial);
  }

  /** Ends a permission that a request need not have used. */
  endTrial({admitted}: CallRun, {id, suspects}: Trial): void {
    const {name: service} = admitted.service;
    for (const each of suspects) {
      this.ownTrials.delete(createSuspectKey(service, each));
    }
    void this.options.trials.finish({
      service,
      ...createTrialIds(suspects),
      suspects: this.listRecords(service, suspects),
      ...(id === undefined ? {} : {trial: id}),
    });
  }

  /** Whether a request needs no permission. */
  isFree(run: CallRun): boolean {
    return this.listSuspects(run).length === 0;
  }

  /**
   * Lists the starts of endpoints that ended with a suspect of a request. What
   * runs at their address is a start that was not reported yet: its end would
   * pass for the known one. A sign of life of the known start ends the doubt; of
   * a single end gateways are told none.
   */
  listEnded(run: CallRun): ReadonlySet<string> {
    const ended = new Set<string>();
    for (const suspect of this.listSuspects(run)) {
      if (!isShared(suspect)) continue;
      for (const [start, crash] of suspect.crashes) {
        if (isStanding(crash)) ended.add(start);
      }
    }
    return ended;
  }

  /** Watches an attempt for what it shows of its suspects. */
  observe(run: WatchedRequest, endpoint: EndpointEntry): CrashWatch {
    const {clock} = this.options;
    const {name: service} = run.admitted.service;
    const levels = new Map(
      this.listKnown(run).map(each => [
        createSuspectKey(service, each),
        each.level,
      ]),
    );
    const sentAt = clock.monotonic();
    return new CrashWatch({
      clock,
      onSound: () => {
        // Without any suspect there is none to clear, and no digest to compute.
        const sound = this.table.isEmpty ? run.watchedParts : run.listWatched();
        for (const each of sound) this.recordSound(service, each);
      },
      onCrash: atMs => {
        const exposureMs = atMs - sentAt;
        const crash = {atMs, exposureMs, refutedAt: -Infinity};
        const customer = run.admitted.caller ?? '';
        for (const id of this.selectSuspects(service, run.listWatched())) {
          const level = (levels.get(createSuspectKey(service, id)) ?? 0) + 1;
          this.recordCrash(endpoint, {id, level, crash, customer});
        }
      },
    });
  }

  /** Merges what other gateways observed, as relayed by the core. */
  recordRelayed(records: readonly SuspectRecord[]): void {
    const now = this.options.clock.monotonic();
    for (const {suspect} of this.table.merge(records, now)) {
      this.logChange(suspect, 'the core');
    }
  }

  /** Lists what this gateway observed lately, to report it to the core. */
  listObserved(): SuspectRecord[] {
    return [...this.listObservedAfter(0).records];
  }

  /** Lists the latest of it that came after a revision. */
  listObservedAfter(revision: number): ObservedSuspects {
    const oldest = this.options.clock.monotonic() - REPORT_WITHIN_MS;
    for (const [key, atMs] of [...this.observedAt]) {
      if (atMs < oldest) this.observedAt.delete(key);
    }
    const listed = this.observedAt.listRevised(revision).slice(-MAX_REPORTED);
    return {
      records: listed.flatMap(({key}) => {
        const suspect = this.table.get(key);
        return suspect ? [this.table.encode(suspect)] : [];
      }),
      revision: listed.at(-1)?.changedAt ?? revision,
    };
  }

  /** Reports all that is known for a while, to a core that may not know it. */
  reportAll(): void {
    const now = this.options.clock.monotonic();
    for (const each of this.table.list()) {
      this.observedAt.set(createSuspectKey(each.service, each), now);
    }
  }

  /** Counts what is retained. */
  countRecords(): {readonly suspects: number; readonly sound: number} {
    return {suspects: this.table.size, sound: this.soundAt.size};
  }

  private listRecords(
    service: string,
    ids: readonly SuspectId[],
  ): SuspectRecord[] {
    const records = ids.flatMap(id => {
      const known = this.table.get(createSuspectKey(service, id));
      return known ? [this.table.encode(known)] : [];
    });
    return records.slice(0, MAX_REPORTED);
  }

  /** Lists what of a request endpoints ended with. */
  private listKnown(run: WatchedRequest): Suspect[] {
    if (this.table.isEmpty) return [];
    const {name: service} = run.admitted.service;
    return run.listWatched().flatMap(id => this.table.find(service, id) ?? []);
  }

  private listSuspects(run: CallRun): Suspect[] {
    // Endpoints end with popular parts and requests by chance.
    return this.listKnown(run).filter(
      each => each.level > 1 || !this.isSound(each.service, each),
    );
  }

  private isWithheld(run: CallRun, suspects: readonly Suspect[]): boolean {
    const customer = run.admitted.caller ?? '';
    const condemned = suspects.filter(
      each => this.table.isCondemned(each) && appliesTo(each, customer),
    );
    if (condemned.length === 0) return false;
    const {name: service} = run.admitted.service;
    const keys = new Set(
      run.listWatched().map(id => createSuspectKey(service, id)),
    );
    return condemned.some(each => !this.table.isExplained(each, keys));
  }

  /** Selects what a crash speaks against, what was not answered lately first. */
  private selectSuspects(
    service: string,
    ids: readonly SuspectId[],
  ): readonly SuspectId[] {
    if (ids.length <= MAX_CRASH_SUSPECTS) return ids;
    const unanswered = ids.filter(id => !this.isSound(service, id));
    const answered = ids.filter(id => this.isSound(service, id));
    return [...unanswered, ...answered].slice(0, MAX_CRASH_SUSPECTS);
  }

  private isSound(service: string, id: SuspectId): boolean {
    const atMs = this.soundAt.get(createSuspectKey(service, id)) ?? -Infinity;
    return this.options.clock.monotonic() - atMs <= SOUND_MS;
  }

  private recordSound(service: string, {kind, part}: SuspectId): void {
    const now = this.options.clock.monotonic();
    const key = createSuspectKey(service, {kind, part});
    this.soundAt.delete(key);
    this.soundAt.set(key, now);
    if (this.soundAt.size > MAX_SOUND) {
      const [oldest] = this.soundAt.keys();
      if (oldest !== undefined) this.soundAt.delete(oldest);
    }
    if (!this.table.find(service, {kind, part})) return;
    this.recordObservation({
      service,
      kind,
      part,
      customers: [],
      level: 0,
      isCondemned: false,
      crashes: new Map(),
      clearedAt: now,
    });
  }

  private recordCrash(
    endpoint: EndpointEntry,
    {
      id: {kind, part},
      level,
      crash,
      customer,
    }: {id: SuspectId; level: number; crash: Crash; customer: string},
  ): void {
    this.recordObservation({
      service: endpoint.service,
      kind,
      part,
      customers: [customer],
      level,
      isCondemned: false,
      crashes: new Map([[createStartKey(endpoint), crash]]),
      clearedAt: -Infinity,
    });
  }

  private recordObservation(suspect: Suspect): void {
    const key = createSuspectKey(suspect.service, suspect);
    const known = this.table.get(key);
    const change = this.table.mergeOne(suspect);
    if (!change) return;
    this.observedAt.set(key, this.options.clock.monotonic());
    this.logChange(change.suspect, 'its answer');
    // The next report is soon enough for what others are not told.
    const isUrgent =
      isShared(change.suspect) || (known !== null && isShared(known));
    if (isUrgent) this.options.onObservation?.();
  }

  private logChange(
    {service, kind, part, level, crashes, isCondemned}: Suspect,
    from: 'its answer' | 'the core',
  ): void {
    this.options.logger.info('Changes what is known of a suspect.', {
      service,
      kind,
      suspect: part,
      chain: level,
      crashes: crashes.size,
      isCondemned,
      from,
    });
  }
}

/** The suspects of a trial as they are sent. */
function createTrialIds(
  suspects: readonly SuspectId[],
): Pick<TrialRequest, 'parts' | 'identity'> {
  const parts = suspects.filter(({kind}) => kind === 'part');
  const request = suspects.find(({kind}) => kind === 'request');
  return {parts: parts.map(({part}) => part), identity: request?.part ?? null};
}
