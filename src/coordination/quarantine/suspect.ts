/** What a daemon knows of one suspect, and how records of it are merged. */
import {
  MAX_PART_CRASHES,
  MAX_SUSPECT_CUSTOMERS,
  type SuspectId,
} from '../../protocol/suspect.ts';

/** How long a suspect is retained after its last crash, by level, in ms. */
const RETAIN_MS = [0, 30_000, 5 * 60_000] as const;
const RETAIN_LONGEST_MS = 60 * 60_000;

/** The end of an engine that had a part. */
export interface Crash {
  /** When it was observed, on the monotonic clock. */
  readonly atMs: number;
  /** How long the request had been at the engine, in ms. */
  readonly exposureMs: number;
  /** When the engine gave a later sign of life; `-Infinity` if it gave none. */
  readonly refutedAt: number;
}

/** A part that engines ended with; times are on the monotonic clock. */
export interface Suspect extends SuspectId {
  readonly service: string;
  /** Those whose requests endpoints ended with, at most two; in order. */
  readonly customers: readonly string[];
  readonly level: number;
  readonly isCondemned: boolean;
  /** The engines that ended, by their start. */
  readonly crashes: ReadonlyMap<string, Crash>;
  readonly clearedAt: number;
}

/** Merges two records of a suspect; in any order, any number of times. */
export function mergeSuspects(known: Suspect | null, next: Suspect): Suspect {
  const clearedAt = Math.max(known?.clearedAt ?? -Infinity, next.clearedAt);
  const keepLater = (crashes: ReadonlyMap<string, Crash> | undefined) =>
    [...(crashes ?? [])].filter(([, {atMs}]) => atMs > clearedAt);
  const before = keepLater(known?.crashes);
  const added = keepLater(next.crashes);
  const newestFirst = [...mergeCrashes(before, added)].sort(
    ([, a], [, b]) =>
      Number(isStanding(b)) - Number(isStanding(a)) || b.atMs - a.atMs,
  );
  const crashes = new Map(newestFirst.slice(0, MAX_PART_CRASHES));
  const level = Math.max(
    before.length > 0 ? (known?.level ?? 0) : 0,
    added.length > 0 ? next.level : 0,
  );
  const standing = countStanding(crashes);
  const {service, kind, part} = next;
  const customers = new Set([...(known?.customers ?? []), ...next.customers]);
  return {
    service,
    kind,
    part,
    customers: [...customers].sort().slice(0, MAX_SUSPECT_CUSTOMERS),
    level: Math.min(level, standing),
    isCondemned:
      standing > 0 &&
      ((before.length > 0 && known?.isCondemned === true) ||
        (added.length > 0 && next.isCondemned)),
    crashes,
    clearedAt,
  };
}

/** Merges crashes; several requests may have been there for different times. */
function mergeCrashes(
  before: ReadonlyArray<[string, Crash]>,
  added: ReadonlyArray<[string, Crash]>,
): Map<string, Crash> {
  const merged = new Map(before);
  for (const [start, crash] of added) {
    merged.set(start, mergeCrash(merged.get(start) ?? crash, crash));
  }
  return merged;
}

function mergeCrash(a: Crash, b: Crash): Crash {
  const refutedAt = Math.max(a.refutedAt, b.refutedAt);
  const standing = [a.atMs, b.atMs].filter(atMs => atMs > refutedAt);
  return {
    atMs:
      standing.length > 0 ? Math.min(...standing) : Math.max(a.atMs, b.atMs),
    exposureMs: Math.max(a.exposureMs, b.exposureMs),
    refutedAt,
  };
}

/** Finds when the last evidence against a suspect was refuted. */
export function findClearedAt({clearedAt, crashes}: Suspect): number {
  const refuted = [...crashes.values()].map(({refutedAt}) => refutedAt);
  return Math.max(clearedAt, ...refuted);
}

/**
 * Whether a verdict holds for a caller's requests. One that rests on the requests
 * of a single customer holds for that customer only, so that none can get what
 * others send condemned.
 */
export function appliesTo(
  {customers}: Pick<Suspect, 'customers'>,
  customer: string,
): boolean {
  return customers.length !== 1 || customers[0] === customer;
}

/**
 * Whether daemons other than the observer need to know of a suspect. A single end
 * comes by chance: what one request then shows is the observer's own business.
 */
export function isShared({
  level,
  crashes,
  isCondemned,
}: Pick<Suspect, 'level' | 'crashes' | 'isCondemned'>): boolean {
  return level > 1 || crashes.size > 1 || isCondemned;
}

/** Whether an end is not refuted by a later sign of life. */
export function isStanding({atMs, refutedAt}: Crash): boolean {
  return atMs > refutedAt;
}

/** Counts the ends that are not refuted. */
export function countStanding(crashes: ReadonlyMap<string, Crash>): number {
  return [...crashes.values()].filter(isStanding).length;
}

/** Whether two records say the same; times of later answers do not matter. */
export function isSame(a: Suspect, b: Suspect): boolean {
  return (
    a.level === b.level &&
    a.isCondemned === b.isCondemned &&
    a.customers.length === b.customers.length &&
    a.crashes.size === b.crashes.size &&
    countStanding(a.crashes) === countStanding(b.crashes) &&
    [...b.crashes.keys()].every(start => a.crashes.has(start))
  );
}

/** Finds when an endpoint last ended with a suspect, refuted or not. */
export function findLastCrash({crashes}: Suspect): number {
  return Math.max(...[...crashes.values()].map(({atMs}) => atMs));
}

/** Returns how long a suspect of a level is retained after its last crash, in ms. */
export function getRetainMs(level: number): number {
  return RETAIN_MS[level] ?? RETAIN_LONGEST_MS;
}
