/** Sums up the figures of drawn histories, for their tests. */
import type {ControlFigures} from './control_history.ts';

/** Returns the value that a share of all values does not exceed; 0 without any. */
export function findQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, sorted.length * share) | 0] ?? 0;
}

/** Describes the histories in which something is found. */
export function describeFound(
  played: readonly ControlFigures[],
  find: (figures: ControlFigures) => Iterable<unknown>,
): string[] {
  return played
    .map(figures => ({...figures, found: [...find(figures)]}))
    .filter(({found}) => found.length > 0)
    .map(({seed, found}) => `seed ${seed}: ${found.slice(0, 3).join('; ')}`);
}
