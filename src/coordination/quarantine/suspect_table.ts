/**
 * What is known of prompt parts and requests that may crash endpoints, by all
 * gateways.
 *
 * Each gateway and each core daemon has one, and merges the records that it
 * receives; merging is idempotent and does not depend on the order. When an
 * endpoint ends, each request that it may just have begun becomes a suspect, and
 * so does each part of its prompt. One answer clears it. It is condemned when
 * endpoints ended one after the other, each after the crash before was known, and
 * when that is hardly a coincidence, given how often endpoints end. Those that end
 * together, as in an outage, count once.
 */
import type {Clock} from '../../protocol/clock.ts';
import type {SuspectId, SuspectRecord} from '../../protocol/suspect.ts';
import {RevisedMap} from '../revised_map.ts';
import {computeChance} from './compute_chance.ts';
import {CrashRevisions} from './crash_revisions.ts';
import {EndpointEnds, type EndpointEndsOptions} from './endpoint_ends.ts';
import {EvictedSuspects, selectEvicted} from './evicted_suspects.ts';
import {
  countStanding,
  findClearedAt,
  findLastCrash,
  getRetainMs,
  isSame,
  isShared,
  isStanding,
  mergeSuspects,
  type Suspect,
} from './suspect.ts';
import {decodeSuspect, encodeSuspect} from './suspect_records.ts';

/** The crashes in a row after which a part is condemned. */
export const CONDEMN_LEVEL = 3;

/**
 * A part is condemned when its crashes are less likely than this to be ordinary
 * ends of engines that come by chance.
 */
const MAX_CHANCE = 5e-8;

/** The same for a part that explains ends of engines without being condemned. */
const MAX_PROBABLE_CHANCE = 1e-3;

/** The level at which a part explains the crashes that it was part of. */
const EXPLAINING_LEVEL = 2;

/** The pause before a condemned part is tried that others explain, in ms. */
const EXPLAINED_BACK_OFF_MS = 500;

/** The highest level at which a condemned part that others explain is tried. */
const MAX_TRIED_LEVEL = 5;

/** How long a condemned part is withheld; one request then tries it again. */
const CONDEMN_MS = 10 * 60_000;

/** How long a cleared part is retained, against records that arrive late. */
const RETAIN_CLEARED_MS = 30_000;

/** The most records, and how many are evicted at once. */
const MAX_SUSPECTS = 256;
const EVICTED_AT_ONCE = 16;

/**
 * How long after it was observed an end counts as confirmed, in ms: two intervals
 * of heartbeats, and the time that they take to all core daemons.
 */
const CONFIRM_MS = 2_500;

/**
 * The time in which the core's verdict reaches gateways after the last crash, in
 * ms. Without one, the core took the crashes for a coincidence.
 */
const VERDICT_WITHIN_MS = 4_000;

/** The longest time for which a heartbeat is usually on its way, in ms. */
const HEARTBEAT_DELAY_MS = 500;

export interface SuspectTableOptions extends EndpointEndsOptions {
  /**
   * Whether it may condemn suspects; false by default. Only those that receive
   * the heartbeats of endpoints can tell a crash from a broken link.
   */
  readonly condemns?: boolean;
}

/** A changed record. */
export interface SuspectChange {
  readonly suspect: Suspect;
  /** Its level before; 0 if there was none. */
  readonly previousLevel: number;
  /** Whether others needed to know of it before. */
  readonly wasShared: boolean;
  /** Whether it is condemned, and was not before. */
  readonly isNewVerdict: boolean;
}

/** A suspect of one service, as a key. */
export function createSuspectKey(
  service: string,
  {kind, part}: SuspectId,
): string {
  return `${service}/${kind}/${part}`;
}

export class SuspectTable {
  private readonly suspects = new RevisedMap<Suspect>();
  private readonly clock: Clock;
  private readonly ends: EndpointEnds;
  private readonly evicted = new EvictedSuspects();
  private readonly crashRevisions = new CrashRevisions();
  /** The highest level of each record since it was added. */
  private readonly highestLevels = new Map<string, number>();

  constructor(private readonly options: SuspectTableOptions) {
    this.clock = options.clock;
    this.ends = new EndpointEnds(options);
  }

  /** Increases with each change. All changes are urgent. */
  get revision(): number {
    return this.suspects.revision;
  }

  /** The number of records. */
  get size(): number {
    return this.suspects.size;
  }

  /** Whether any part is suspected. */
  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /** Finds a part that engines ended with since it was last answered on. */
  find(service: string, id: SuspectId): Suspect | null {
    if (this.isEmpty) return null;
    const suspect = this.get(createSuspectKey(service, id));
    if (!suspect || suspect.level === 0) return null;
    return this.isExpired(suspect) ? null : suspect;
  }

  /** Returns what is known of a part, also of one that was cleared. */
  get(key: string): Suspect | null {
    return this.suspects.get(key) ?? null;
  }

  /** Lists the parts whose requests are withheld. */
  listCondemned(): Suspect[] {
    return [...this.suspects]
      .map(([, suspect]) => suspect)
      .filter(suspect => this.isCondemned(suspect));
  }

  /** Whether requests with the part are withheld. */
  isCondemned(suspect: Suspect): boolean {
    if (!suspect.isCondemned) return false;
    return this.clock.monotonic() - findLastCrash(suspect) < CONDEMN_MS;
  }

  /**
   * Whether other parts, which a request does not have, explain all crashes of
   * a suspect: then the request can show which of them it is. It may do so
   * ever more seldom and a few times only, as each try may cost an engine.
   */
  isExplained(suspect: Suspect, requestKeys: ReadonlySet<string>): boolean {
    if (suspect.level > MAX_TRIED_LEVEL) return false;
    const backOffMs =
      EXPLAINED_BACK_OFF_MS * 2 ** (suspect.level - CONDEMN_LEVEL);
    const sinceMs = this.clock.monotonic() - findLastCrash(suspect);
    if (sinceMs < backOffMs) return false;
    const unexplained = new Set(suspect.crashes.keys());
    for (const [key, other] of this.suspects) {
      if (other.service !== suspect.service || requestKeys.has(key)) continue;
      if (other.level < EXPLAINING_LEVEL || this.isExpired(other)) continue;
      for (const start of other.crashes.keys()) unexplained.delete(start);
      if (unexplained.size === 0) return true;
    }
    return false;
  }

  /**
   * Merges records of another daemon; returns those that changed.
   *
   * @param receivedAt When their ages were measured, on the monotonic clock.
   */
  merge(
    records: readonly SuspectRecord[],
    receivedAt: number,
  ): SuspectChange[] {
    return records
      .map(record => this.mergeOne(decodeSuspect(record, receivedAt)))
      .filter(change => change !== null);
  }

  /** Merges one record; returns `null` if that changes nothing. */
  mergeOne(next: Suspect): SuspectChange | null {
    const key = createSuspectKey(next.service, next);
    const known = this.suspects.get(key);
    if (!known && this.evicted.matches(key, next)) return null;
    for (const [start, crash] of next.crashes) {
      if (isStanding(crash)) this.ends.record(next.service, start, crash.atMs);
      else this.ends.remove(start);
    }
    const merged = this.evaluate(mergeSuspects(known ?? null, next));
    if (this.isExpired(merged)) return null;
    if (known && isSame(known, merged)) return null;
    this.suspects.set(key, merged);
    this.crashRevisions.record(key, {known, next: merged}, this.revision);
    const highestLevel = this.highestLevels.get(key) ?? 0;
    this.highestLevels.set(key, Math.max(highestLevel, merged.level));
    this.evict();
    if (!known && !this.suspects.get(key)) return null;
    return {
      suspect: merged,
      previousLevel: known?.level ?? 0,
      wasShared: known !== undefined && isShared(known),
      isNewVerdict: merged.isCondemned && !known?.isCondemned,
    };
  }

  /**
   * Records a sign of life of an endpoint: what seemed to be its end was a
   * broken link.
   *
   * @param aliveAt When it was received, on the monotonic clock.
   * @returns The records that changed.
   */
  recordAlive(start: string, aliveAt: number): SuspectChange[] {
    const changes: SuspectChange[] = [];
    for (const [, suspect] of [...this.suspects]) {
      const crash = suspect.crashes.get(start);
      if (!crash || !isStanding(crash)) continue;
      if (crash.atMs + HEARTBEAT_DELAY_MS > aliveAt) continue;
      const refuted = new Map([[start, {...crash, refutedAt: aliveAt}]]);
      const change = this.mergeOne({...suspect, crashes: refuted});
      if (change) changes.push(change);
    }
    return changes;
  }

  /** Whether suspects wait for the confirmation of crashes. */
  get hasPending(): boolean {
    return [...this.suspects].some(([, suspect]) => this.isPending(suspect));
  }

  /**
   * Whether a suspect is to be condemned once its crashes are confirmed. It goes
   * to no endpoint meanwhile.
   */
  isPending(suspect: Suspect): boolean {
    if (suspect.isCondemned || suspect.level < CONDEMN_LEVEL) return false;
    const sinceMs = this.clock.monotonic() - findLastCrash(suspect);
    if (!this.options.condemns && sinceMs > VERDICT_WITHIN_MS) return false;
    return !this.isExpired(suspect) && this.isProven(suspect);
  }

  /** Condemns suspects whose crashes are confirmed; returns those that changed. */
  decide(): SuspectChange[] {
    return [...this.suspects].flatMap(
      ([, suspect]) =>
        (this.isPending(suspect) && this.mergeOne(suspect)) || [],
    );
  }

  /** Lists all records. */
  list(): SuspectRecord[] {
    return [...this.suspects].map(([, suspect]) => this.encode(suspect));
  }

  /** Lists the keys of the records that changed after a revision. */
  listChanged(after: number): string[] {
    return this.suspects.list(after).map(([key]) => key);
  }

  /** Encodes a record with the ages of its crashes. */
  encode(suspect: Suspect): SuspectRecord {
    return encodeSuspect(suspect, this.clock.monotonic());
  }

  /**
   * Encodes a record for a reader that has it as of a revision: with the crashes
   * that came since, or all of them if something else changed.
   */
  encodeSince(key: string, after: number): SuspectRecord | null {
    const suspect = this.get(key);
    if (!suspect) return null;
    const crashes = this.crashRevisions.select(key, suspect, after);
    return this.encode(crashes.size > 0 ? {...suspect, crashes} : suspect);
  }

  /** Drops records that no longer matter. */
  expire(): void {
    for (const [key, suspect] of this.suspects) {
      if (this.isExpired(suspect)) this.delete(key);
    }
    this.ends.expire();
    const now = this.clock.monotonic();
    this.evicted.expire(
      (level, lastAt) => now - lastAt > getRetainMs(level) + RETAIN_CLEARED_MS,
    );
  }

  /** Condemns a suspect whose confirmed crashes are hardly a coincidence. */
  private evaluate(suspect: Suspect): Suspect {
    if (suspect.isCondemned || !this.options.condemns) return suspect;
    const latest = this.clock.monotonic() - CONFIRM_MS;
    const confirmed = new Map(
      [...suspect.crashes].filter(([, {atMs}]) => atMs <= latest),
    );
    const level = Math.min(suspect.level, countStanding(confirmed));
    const isCondemned = this.isProven({...suspect, level, crashes: confirmed});
    return {...suspect, isCondemned};
  }

  /** Whether the crashes of a suspect are hardly a coincidence. */
  private isProven(suspect: Suspect): boolean {
    if (suspect.level < CONDEMN_LEVEL) return false;
    const probable = this.listProbable(suspect);
    const chance = this.evaluateChance(suspect, start =>
      probable.some(({crashes}) => crashes.has(start)),
    );
    return chance <= MAX_CHANCE;
  }

  /**
   * Computes how likely an engine ends by chance as often as a suspect's level
   * says, while requests with it are there one at a time.
   *
   * @param isExplained Whether another suspect explains an end of an engine.
   */
  private evaluateChance(
    {service, level, crashes}: Suspect,
    isExplained: (start: string) => boolean,
  ): number {
    const rate = this.ends.observeRate(
      service,
      level,
      start => !crashes.has(start) && isExplained(start),
    );
    const exposures = [...crashes.values()]
      .filter(isStanding)
      .map(({exposureMs}) => exposureMs);
    const sumMs = exposures.reduce((sum, each) => sum + each, 0);
    const withinMs = (sumMs * level) / exposures.length;
    return computeChance(rate, {count: level, withinMs});
  }

  /** Lists the other suspects of a service that probably crash engines. */
  private listProbable(suspect: Suspect): Suspect[] {
    const key = createSuspectKey(suspect.service, suspect);
    return [...this.suspects]
      .filter(([otherKey]) => otherKey !== key)
      .map(([, other]) => other)
      .filter(({service}) => service === suspect.service)
      .filter(each => each.level >= CONDEMN_LEVEL && !this.isExpired(each))
      .filter(
        each =>
          each.isCondemned ||
          this.evaluateChance(each, () => false) <= MAX_PROBABLE_CHANCE,
      );
  }

  private isExpired(suspect: Suspect): boolean {
    const now = this.clock.monotonic();
    if (countStanding(suspect.crashes) === 0) {
      return now - findClearedAt(suspect) > RETAIN_CLEARED_MS;
    }
    return now - findLastCrash(suspect) > getRetainMs(suspect.level);
  }

  /** Drops records while there are too many. */
  private evict(): void {
    if (this.suspects.size <= MAX_SUSPECTS) return;
    this.expire();
    if (this.suspects.size <= MAX_SUSPECTS) return;
    const held = [...this.suspects].map(([key, suspect]) => ({
      key,
      suspect,
      highestLevel: this.highestLevels.get(key) ?? 0,
    }));
    for (const each of selectEvicted(held, EVICTED_AT_ONCE)) {
      this.evicted.record(each);
      this.delete(each.key);
    }
  }

  private delete(key: string): void {
    this.suspects.delete(key);
    this.highestLevels.delete(key);
    this.crashRevisions.delete(key);
  }
}
