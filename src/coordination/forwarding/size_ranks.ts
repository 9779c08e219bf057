/**
 * Learns how large the requests of each route are, so that the largest can be
 * told from the others. Nothing is known of a route until enough were seen.
 */
import type {CallFacts} from './call.ts';

/** How many of the newest requests of a route are remembered. */
const REMEMBERED = 64;

/** Requests of a route before the first one counts as large. */
const MIN_SEEN = 10;

/** The share of a route's requests that count as large. */
const LARGE_SHARE = 0.3;

/** How much a token that is generated counts, against one that is read. */
const OUTPUT_WEIGHT = 10;

export class SizeRanks {
  private readonly seen = new Map<string, number[]>();

  /** Notes a request; true when it is among the largest of its route. */
  record(route: string, facts: CallFacts): boolean {
    const size = facts.promptTokens + OUTPUT_WEIGHT * facts.maxOutputTokens;
    const sizes = this.seen.get(route) ?? [];
    this.seen.set(route, sizes);
    const larger = sizes.filter(each => each > size).length;
    const isLarge =
      sizes.length >= MIN_SEEN && larger < sizes.length * LARGE_SHARE;
    sizes.push(size);
    if (sizes.length > REMEMBERED) sizes.shift();
    return isLarge;
  }
}
