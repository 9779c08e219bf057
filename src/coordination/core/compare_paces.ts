/**
 * Compares how long a new version takes for its work with the old one.
 *
 * Waiting makes many answers of any version slow, and engines that are new have
 * empty queues, so slow answers say little. Fast ones say more: an engine that is
 * several times slower has none that are as fast as the fastest quarter of the
 * old version's, whatever the load. A version of which only some answers are
 * slower has more that are as slow as the slowest of the old version. Both
 * versions are compared by model, over the same time.
 */
import type {ServiceRollout, VersionPace} from '../../protocol/core_service.ts';

/** The part of the old version's answers that counts as fast. */
const FAST_SHARE = 0.25;

/** The part of the old version's answers that counts as slow. */
const SLOW_SHARE = 0.12;

/** With fewer answers of the old version a kind is not compared. */
const MIN_STABLE_ANSWERS = 12;

/** Answers of the new version in a class that holds a part of the old one's. */
export interface ClassComparison {
  readonly count: number;
  /** The count that is expected if it is like the old version. */
  readonly expected: number;
  /** The difference in standard errors. */
  readonly deviation: number;
}

export interface PaceComparison {
  /** The compared answers of the new version. */
  readonly answers: number;
  /** Those that were as fast as the fastest of the old version. */
  readonly fast: ClassComparison;
  /** Those that were as slow as the slowest of the old version. */
  readonly slow: ClassComparison;
}

/** The answers of both versions with one model, over the same time. */
interface Stratum {
  readonly target: number[];
  readonly stable: number[];
}

/** Compares the target's answers with those of other versions. */
export function comparePaces(
  paces: readonly VersionPace[],
  rollout: Pick<ServiceRollout, 'service' | 'target'>,
): PaceComparison {
  const strata = groupPaces(paces, rollout).filter(
    ({target, stable}) => sum(stable) >= MIN_STABLE_ANSWERS && sum(target) > 0,
  );
  return {
    answers: strata.reduce((total, {target}) => total + sum(target), 0),
    fast: compareClass(strata, {share: FAST_SHARE, part: 'fastest'}),
    slow: compareClass(strata, {share: SLOW_SHARE, part: 'slowest'}),
  };
}

function groupPaces(
  paces: readonly VersionPace[],
  {service, target}: Pick<ServiceRollout, 'service' | 'target'>,
): Stratum[] {
  const strata = new Map<string, Stratum>();
  for (const pace of paces) {
    if (pace.service !== service) continue;
    const key = `${pace.kind}\n${pace.movesSessions}`;
    const stratum = strata.get(key) ?? {target: [], stable: []};
    strata.set(key, stratum);
    const side = pace.version === target ? stratum.target : stratum.stable;
    pace.counts.forEach((count, index) => {
      side[index] = (side[index] ?? 0) + count;
    });
  }
  return [...strata.values()];
}

function compareClass(
  strata: readonly Stratum[],
  {share, part}: {share: number; part: 'fastest' | 'slowest'},
): ClassComparison {
  let count = 0;
  let expected = 0;
  let variance = 0;
  for (const {target, stable} of strata) {
    const answers = sum(target);
    const stableAnswers = sum(stable);
    const cut = findCut(stable, part === 'fastest' ? share : 1 - share);
    const [from, until] =
      part === 'fastest' ? [0, cut] : [cut, Math.max(cut, stable.length)];
    const stableShare = sum(stable.slice(from, until)) / stableAnswers;
    count += sum(target.slice(from, until));
    expected += answers * stableShare;
    // At least as for one answer, since none in the class is no certainty.
    const spread = Math.max(stableShare, 1 / stableAnswers);
    variance += answers * spread * (1 - spread) * (1 + answers / stableAnswers);
  }
  const deviation = variance > 0 ? (count - expected) / Math.sqrt(variance) : 0;
  return {count, expected, deviation};
}

/** Finds the class below which about a share of the counts lies. */
function findCut(counts: readonly number[], share: number): number {
  const total = sum(counts);
  let best = 1;
  let bestError = Infinity;
  for (let cut = 1; cut < counts.length; cut++) {
    const error = Math.abs(sum(counts.slice(0, cut)) / total - share);
    if (error < bestError) [best, bestError] = [cut, error];
  }
  return best;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
