/**
 * Keeps prompt parts that crash engines from further engines.
 *
 * An engine that ends takes all answers down that it writes, and each of their
 * prompt parts may be the reason. Requests with a suspected part go to engines
 * one at a time over all gateways, until one is answered, which clears the part,
 * or until it is condemned and its requests are refused.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {EndpointEntry} from '../../protocol/endpoint_report.ts';
import type {Logger} from '../../protocol/logger.ts';
import type {Metrics} from '../../protocol/metrics.ts';
import type {SuspectRecord} from '../../protocol/suspect.ts';
import type {CallRun} from '../forwarding/call_run.ts';
import {CrashWatch} from './crash_watch.ts';
import {createStartKey} from './endpoint_ends.ts';
import type {TrialClient} from './trial_client.ts';
import {createPartKey, SuspectTable, type Suspect} from './suspect_table.ts';

/** Parts of which a gateway remembers an answer. */
const MAX_SOUND_PARTS = 4_096;

/** How long an answer speaks for a part that an engine ended with once, in ms. */
const SOUND_MS = 60_000;

/** How long an own observation is reported to the core, in ms. */
const REPORT_WITHIN_MS = 3_000;

/** Records of a report at most. */
const MAX_REPORTED = 64;

/** Parts of one prompt that a crash makes suspects at most. */
const MAX_CRASH_PARTS = 64;

/** How often, and after how long, a denied trial is requested again. */
const TRIAL_ATTEMPTS = 4;
const TRIAL_RETRY_MS = 150;

/** Whether a request may be sent to an engine now. */
export type Permission =
  | {readonly type: 'free'}
  /** It is the only one with its suspected parts. */
  | {readonly type: 'trial'}
  | {readonly type: 'refused'; readonly isCondemned: boolean};

const FREE: Permission = {type: 'free'};

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
  /** When parts were last answered on here; the latest ones come last. */
  private readonly soundAt = new Map<string, number>();
  /** When this gateway last observed something of a part, by its key. */
  private readonly observedAt = new Map<string, number>();

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
      const parts = suspects.map(({part}) => part);
      const reply = await trials.request({
        service,
        parts,
        suspects: this.listRecords(service, parts),
      });
      const isGranted = reply?.isGranted ?? false;
      if (reply) this.recordRelayed(reply.suspects);
      metrics.count('prompt_trials', 1, {
        service,
        outcome: reply ? (isGranted ? 'granted' : 'denied') : 'no-answer',
      });
      // Callers of a gateway without contact to the core are not refused for a
      // single crash.
      if (!reply && suspects.every(({level}) => level === 1)) return FREE;
      if (isGranted) {
        run.trial = {id: reply?.trial, parts};
        if (!this.isWithheld(run, this.listSuspects(run))) {
          return {type: 'trial'};
        }
        this.finishTrial(run);
        continue;
      }
      if (attempt >= TRIAL_ATTEMPTS || run.sends > 0) {
        return {type: 'refused', isCondemned: false};
      }
      await clock.sleep(TRIAL_RETRY_MS, run.call.signal);
    }
  }

  /** Ends the trial of a request, after its attempt was watched. */
  finishTrial(run: CallRun): void {
    const {name: service} = run.admitted.service;
    if (!run.trial) return;
    const {id, parts} = run.trial;
    run.trial = null;
    void this.options.trials.finish({
      service,
      parts: [...parts],
      suspects: this.listRecords(service, parts),
      ...(id === undefined ? {} : {trial: id}),
    });
  }

  /** Whether a request needs no permission. */
  isFree(run: CallRun): boolean {
    return this.listSuspects(run).length === 0;
  }

  /** Watches an attempt for what it shows of its prompt. */
  observe(run: CallRun, endpoint: EndpointEntry): CrashWatch {
    const {clock} = this.options;
    const {name: service} = run.admitted.service;
    const parts = run.watchedParts;
    const levels = new Map(
      parts.map(part => [part, this.table.find(service, part)?.level ?? 0]),
    );
    const sentAt = clock.monotonic();
    return new CrashWatch({
      clock,
      onSound: () => parts.forEach(part => this.recordSound(service, part)),
      onCrash: () => {
        const exposureMs = clock.monotonic() - sentAt;
        for (const part of this.selectCrashParts(service, parts)) {
          const level = (levels.get(part) ?? 0) + 1;
          this.recordCrash(endpoint, {part, level, exposureMs});
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
    const oldest = this.options.clock.monotonic() - REPORT_WITHIN_MS;
    for (const [key, atMs] of this.observedAt) {
      if (atMs < oldest) this.observedAt.delete(key);
    }
    if (this.observedAt.size === 0) return [];
    return this.table
      .list()
      .filter(({service, part}) =>
        this.observedAt.has(createPartKey(service, part)),
      )
      .slice(-MAX_REPORTED);
  }

  /** Reports all that is known for a while, to a core that may not know it. */
  reportAll(): void {
    const now = this.options.clock.monotonic();
    for (const {service, part} of this.table.list()) {
      this.observedAt.set(createPartKey(service, part), now);
    }
  }

  /** Counts what is retained. */
  countRecords(): {readonly suspects: number; readonly soundParts: number} {
    return {suspects: this.table.size, soundParts: this.soundAt.size};
  }

  private listRecords(
    service: string,
    parts: readonly string[],
  ): SuspectRecord[] {
    const records = parts.flatMap(part => {
      const known = this.table.get(createPartKey(service, part));
      return known ? [this.table.encode(known)] : [];
    });
    return records.slice(0, MAX_REPORTED);
  }

  private listSuspects(run: CallRun): Suspect[] {
    if (this.table.isEmpty) return [];
    const {name: service} = run.admitted.service;
    return run.watchedParts.flatMap(part => {
      const suspect = this.table.find(service, part);
      if (!suspect) return [];
      // Engines end with popular parts by chance.
      const isExempt = suspect.level === 1 && this.isSound(service, part);
      return isExempt ? [] : [suspect];
    });
  }

  private isWithheld(run: CallRun, suspects: readonly Suspect[]): boolean {
    const condemned = suspects.filter(each => this.table.isCondemned(each));
    if (condemned.length === 0) return false;
    const parts = new Set(run.watchedParts);
    return condemned.some(each => !this.table.isExplained(each, parts));
  }

  /** Selects the parts that a crash speaks against, unanswered ones first. */
  private selectCrashParts(
    service: string,
    parts: readonly string[],
  ): readonly string[] {
    if (parts.length <= MAX_CRASH_PARTS) return parts;
    const unanswered = parts.filter(part => !this.isSound(service, part));
    const answered = parts.filter(part => this.isSound(service, part));
    return [...unanswered, ...answered].slice(0, MAX_CRASH_PARTS);
  }

  private isSound(service: string, part: string): boolean {
    const atMs = this.soundAt.get(createPartKey(service, part)) ?? -Infinity;
    return this.options.clock.monotonic() - atMs <= SOUND_MS;
  }

  private recordSound(service: string, part: string): void {
    const now = this.options.clock.monotonic();
    const key = createPartKey(service, part);
    this.soundAt.delete(key);
    this.soundAt.set(key, now);
    if (this.soundAt.size > MAX_SOUND_PARTS) {
      const [oldest] = this.soundAt.keys();
      if (oldest !== undefined) this.soundAt.delete(oldest);
    }
    if (!this.table.find(service, part)) return;
    this.recordObservation({
      service,
      part,
      level: 0,
      isCondemned: false,
      crashes: new Map(),
      clearedAt: now,
    });
  }

  private recordCrash(
    endpoint: EndpointEntry,
    {
      part,
      level,
      exposureMs,
    }: {part: string; level: number; exposureMs: number},
  ): void {
    const now = this.options.clock.monotonic();
    this.recordObservation({
      service: endpoint.service,
      part,
      level,
      isCondemned: false,
      crashes: new Map([[createStartKey(endpoint), {atMs: now, exposureMs}]]),
      clearedAt: -Infinity,
    });
  }

  private recordObservation(suspect: Suspect): void {
    const change = this.table.mergeOne(suspect);
    if (!change) return;
    const key = createPartKey(suspect.service, suspect.part);
    this.observedAt.set(key, this.options.clock.monotonic());
    this.logChange(change.suspect, 'its answer');
    this.options.onObservation?.();
  }

  private logChange(
    {service, part, level, crashes, isCondemned}: Suspect,
    from: 'its answer' | 'the core',
  ): void {
    if (level === 1 && from === 'the core') return;
    this.options.logger.info('Changes what is known of a prompt part.', {
      service,
      part,
      level,
      crashes: crashes.size,
      isCondemned,
      from,
    });
  }
}
