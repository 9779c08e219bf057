/**
 * Which records a full table of suspects evicts, and what it remembers of them.
 *
 * Other daemons tell of an evicted record again. Taken for news, it would evict
 * another one, which is news in turn: so the table takes none that is not above
 * those that it evicted of the same customer.
 */
import {findClearedAt, findLastCrash, type Suspect} from './suspect.ts';

/**
 * By how much the time of an event may differ between two messages that tell of it,
 * in ms: by the time that they are on their way.
 */
const MAX_DELAY_MS = 500;

/** The most keys of covered records that are remembered. */
const MAX_REFUSED = 1_024;

/** A record of the table. */
export interface HeldSuspect {
  readonly key: string;
  readonly suspect: Suspect;
  /** Its highest level since it was added. */
  readonly highestLevel: number;
}

/**
 * Selects the records to evict: of the customer that has the most, so that none can
 * fill the table, those of the lowest level, the oldest first.
 */
export function selectEvicted(
  held: readonly HeldSuspect[],
  count: number,
): HeldSuspect[] {
  const byCustomer = new Map<string, HeldSuspect[]>();
  for (const each of held) {
    const customer = getCustomer(each.suspect);
    const list = byCustomer.get(customer);
    if (list) list.push(each);
    else byCustomer.set(customer, [each]);
  }
  // The next one to evict comes last.
  const lists = [...byCustomer.values()];
  for (const list of lists) list.sort((a, b) => compare(b, a));
  const evicted: HeldSuspect[] = [];
  while (evicted.length < count) {
    const [most] = lists.sort((a, b) => b.length - a.length);
    const next = most?.pop();
    if (!next) break;
    evicted.push(next);
  }
  return evicted;
}

export class EvictedSuspects {
  /** The last event of evicted records by customer and level. */
  private readonly lastAt = new Map<string, Map<number, number>>();
  /** Keys of records that were covered, which a later message may put after it. */
  private readonly refused = new Set<string>();

  record({suspect, highestLevel}: HeldSuspect): void {
    const customer = getCustomer(suspect);
    const levels = this.lastAt.get(customer) ?? new Map<number, number>();
    this.lastAt.set(customer, levels);
    const known = levels.get(highestLevel) ?? -Infinity;
    levels.set(highestLevel, Math.max(known, findLastEvent(suspect)));
  }

  /** Whether a record tells no more than those that were evicted. */
  matches(key: string, suspect: Suspect): boolean {
    const levels = this.lastAt.get(getCustomer(suspect)) ?? [];
    const lastAt = [...levels]
      .filter(([level]) => level >= suspect.level)
      .reduce((latest, [, each]) => Math.max(latest, each), -Infinity);
    const sinceMs = findLastEvent(suspect) - lastAt;
    if (sinceMs > MAX_DELAY_MS) {
      return sinceMs <= 2 * MAX_DELAY_MS && this.refused.has(key);
    }
    this.refused.add(key);
    if (this.refused.size > MAX_REFUSED) {
      const [oldest] = this.refused;
      if (oldest !== undefined) this.refused.delete(oldest);
    }
    return true;
  }

  /** Drops what is older than the records that are told. */
  expire(isExpired: (level: number, lastAt: number) => boolean): void {
    for (const [customer, levels] of this.lastAt) {
      for (const [level, lastAt] of levels) {
        if (isExpired(level, lastAt)) levels.delete(level);
      }
      if (levels.size === 0) this.lastAt.delete(customer);
    }
    if (this.lastAt.size === 0) this.refused.clear();
  }
}

function getCustomer({customers}: Suspect): string {
  return customers[0] ?? '';
}

/** Finds when a suspect last crashed an endpoint, or was answered on. */
function findLastEvent(suspect: Suspect): number {
  return Math.max(findLastCrash(suspect), findClearedAt(suspect));
}

function compare(a: HeldSuspect, b: HeldSuspect): number {
  return (
    a.suspect.level - b.suspect.level ||
    findLastEvent(a.suspect) - findLastEvent(b.suspect)
  );
}
