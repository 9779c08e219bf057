/** Computes how likely events are that come by chance at an uncertain rate. */

/** Terms of the sum after the first; the rest is negligible. */
const TERMS = 60;

/** What is known of the rate at which events come. */
export interface ObservedRate {
  /** The events that were seen, or assumed; positive. */
  readonly events: number;
  /** The time in which they came, in ms; positive. */
  readonly inMs: number;
}

/**
 * Computes how likely at least a number of events come within a time: the tail of
 * the negative binomial distribution, for a rate that was estimated from few
 * events.
 */
export function computeChance(
  {events, inMs}: ObservedRate,
  {count, withinMs}: {readonly count: number; readonly withinMs: number},
): number {
  const share = withinMs / (inMs + withinMs);
  let term = (1 - share) ** events;
  let sum = 0;
  for (let index = 0; index < count + TERMS; index++) {
    if (index >= count) sum += term;
    term *= (share * (events + index)) / (index + 1);
  }
  return sum;
}
