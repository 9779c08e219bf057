/** Seeded random numbers for tests. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const DISCARDED_DRAWS = 20;

/** Seeded draws. */
export interface Draws {
  /** Returns a number from 0 up to 1. */
  readonly next: () => number;
  /** Returns a whole number; both bounds are possible. */
  readonly between: (low: number, high: number) => number;
  /** Returns a number whose logarithm is evenly distributed. */
  readonly log: (low: number, high: number) => number;
}

/** Creates draws that a seed determines. */
export function createDraws(seed: number): Draws {
  const generator = xoroshiro128plus(seed);
  const next = () => uniformFloat64(generator);
  // The first draws of small seeds are alike.
  for (let index = 0; index < DISCARDED_DRAWS; index++) next();
  return {
    next,
    between: (low, high) => low + Math.floor(next() * (high - low + 1)),
    log: (low, high) => low * (high / low) ** next(),
  };
}
