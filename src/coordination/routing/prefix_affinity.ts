/**
 * Tracks which endpoints probably cache which prompt prefixes.
 *
 * Prefix lengths grow by a factor of four, so a long prompt costs few hashes.
 * This gateway's dispatches and the engines' cache events, which arrive late
 * and with gaps, are kept in a bounded table that evicts the least recently
 * recorded prefix.
 */
import {createHash} from 'node:crypto';
import type {Clock} from '../../protocol/clock.ts';

export interface PrefixAffinityOptions {
  readonly clock: Pick<Clock, 'monotonic'>;
  /** The maximum number of prefixes kept; 20,000 by default. */
  readonly capacity?: number;
  /** The half-life of an entry's weight; two minutes by default. */
  readonly halfLifeMs?: number;
}

/** The lengths of the hashed prefixes, in characters. */
const PREFIX_LENGTHS = [256, 1_024, 4_096, 16_384];

/** Endpoints kept for each prefix, the most recent first. */
const ENDPOINTS_PER_PREFIX = 3;

interface Holder {
  readonly endpoint: string;
  at: number;
}

/** The hashed prefixes of one prompt. */
export interface PromptPrefixes {
  readonly hashes: readonly string[];
  /** The share of the prompt that each prefix covers. */
  readonly shares: readonly number[];
}

/** Hashes the prefixes of a prompt, shortest first. */
export function hashPrefixes(prompt: string): PromptPrefixes {
  const lengths = PREFIX_LENGTHS.filter(length => length <= prompt.length);
  const hashes = lengths.map(length =>
    createHash('sha1').update(prompt.slice(0, length)).digest('base64'),
  );
  return {hashes, shares: lengths.map(length => length / prompt.length)};
}

/** A table of prompt prefixes and the endpoints that probably cache them. */
export class PrefixAffinity {
  private readonly clock: Pick<Clock, 'monotonic'>;
  private readonly capacity: number;
  private readonly halfLifeMs: number;
  private readonly holders = new Map<string, Holder[]>();

  constructor({
    clock,
    capacity = 20_000,
    halfLifeMs = 120_000,
  }: PrefixAffinityOptions) {
    this.clock = clock;
    this.capacity = capacity;
    this.halfLifeMs = halfLifeMs;
  }

  /** Records that an endpoint was sent a prompt, or reported its prefix. */
  record(endpoint: string, hashes: readonly string[]): void {
    const at = this.clock.monotonic();
    for (const hash of hashes) {
      const others = (this.holders.get(hash) ?? []).filter(
        each => each.endpoint !== endpoint,
      );
      this.holders.delete(hash);
      this.holders.set(
        hash,
        [{endpoint, at}, ...others].slice(0, ENDPOINTS_PER_PREFIX),
      );
    }
    while (this.holders.size > this.capacity) {
      const [oldest] = this.holders.keys();
      if (oldest === undefined) break;
      this.holders.delete(oldest);
    }
  }

  /** Removes prefixes that an endpoint evicted; all of them if unspecified. */
  remove(endpoint: string, hashes?: readonly string[]): void {
    for (const hash of hashes ?? [...this.holders.keys()]) {
      const left = (this.holders.get(hash) ?? []).filter(
        each => each.endpoint !== endpoint,
      );
      if (left.length > 0) this.holders.set(hash, left);
      else this.holders.delete(hash);
    }
  }

  /** Estimates the share of the prompt that each endpoint caches. */
  estimateCachedShares(prefixes: PromptPrefixes): Map<string, number> {
    const now = this.clock.monotonic();
    const estimates = new Map<string, number>();
    prefixes.hashes.forEach((hash, index) => {
      const share = prefixes.shares[index] ?? 0;
      for (const {endpoint, at} of this.holders.get(hash) ?? []) {
        const kept = share * 0.5 ** ((now - at) / this.halfLifeMs);
        if (kept > (estimates.get(endpoint) ?? 0)) {
          estimates.set(endpoint, kept);
        }
      }
    });
    return estimates;
  }
}
