/** Checks the metrics against the performance targets. */
import type {RunMetrics} from './run_metrics.ts';

/** Metrics by `scenario/policy`, one entry for each seed. */
export type Results = ReadonlyMap<string, readonly RunMetrics[]>;

/** Whether one target was met. */
export interface TargetResult {
  readonly target: string;
  readonly met: boolean;
  readonly measured: string;
}

const ROUTER_POLICY = 'parsleypond';

export function findRuns(
  results: Results,
  scenario: string,
  policy = ROUTER_POLICY,
): readonly RunMetrics[] {
  return results.get(`${scenario}/${policy}`) ?? [];
}

/** Checks all targets for one profile. */
export function checkTargets(
  results: Results,
  scenarios: readonly string[],
): TargetResult[] {
  return [
    checkCost(results),
    ...scenarios.map(scenario => checkQuality(results, scenario)),
    ...scenarios.map(scenario => checkLatency(results, scenario, 1)),
    checkLatency(results, 'lagging reports', 0.6),
    checkExposure(results, 'bad at 5%', 30),
    checkExposure(results, 'bad at 5%, gated', 0),
    checkIsolation(results),
    checkGoodput(results),
    checkSmallestShare(results),
  ];
}

/** Compares the cost in `normal` with that of always using the best version. */
function checkCost(results: Results): TargetResult {
  const best = findRuns(results, 'normal', 'always best');
  const ratios = findRuns(results, 'normal').map(
    (run, index) => run.cost / (best[index]?.cost ?? NaN),
  );
  return checkAtMost('cost against always best, each seed', ratios, 0.6);
}

function checkQuality(results: Results, scenario: string): TargetResult {
  const margins = findRuns(results, scenario).map(each => each.margin);
  const lowest = Math.min(...margins);
  return {
    target: `${scenario}: mean quality at the target, each class and seed`,
    met: lowest >= 0,
    measured: `lowest margin ${lowest.toFixed(3)}`,
  };
}

function checkLatency(
  results: Results,
  scenario: string,
  limit: number,
): TargetResult {
  const least = findRuns(results, scenario, 'least reported');
  const ratios = findRuns(results, scenario).map(
    (run, index) => run.p95 / (least[index]?.p95 ?? NaN),
  );
  return checkAtMost(`${scenario}: p95 against least reported`, ratios, limit);
}

function checkExposure(
  results: Results,
  scenario: string,
  limit: number,
): TargetResult {
  const exposed = findRuns(results, scenario).map(each => each.exposed);
  return checkAtMost(
    `${scenario}: bad answers that reached callers`,
    exposed,
    limit,
  );
}

function checkIsolation(results: Results): TargetResult {
  const usual = findRuns(results, 'normal');
  const ratios = findRuns(results, 'dead service beside').map(
    (run, index) => run.p95 / (usual[index]?.p95 ?? NaN),
  );
  return checkAtMost('dead service beside: p95 against normal', ratios, 1.05);
}

function checkGoodput(results: Results): TargetResult {
  const full = findRuns(results, 'at capacity');
  const ratios = findRuns(results, 'overload 1.5').map(
    (run, index) => run.goodput / (full[index]?.goodput ?? NaN),
  );
  return checkAtLeast(
    'overload 1.5: goodput against at capacity',
    ratios,
    0.95,
  );
}

function checkSmallestShare(results: Results): TargetResult {
  const shares = findRuns(results, 'overload 1.5').map(
    each => each.smallestShare,
  );
  return checkAtLeast(
    "overload 1.5: smallest customer's fair share",
    shares,
    0.95,
  );
}

function checkAtMost(
  target: string,
  values: readonly number[],
  limit: number,
): TargetResult {
  const worst = Math.max(...values);
  return createResult(target, worst <= limit, {values, limit, sign: '<='});
}

function checkAtLeast(
  target: string,
  values: readonly number[],
  limit: number,
): TargetResult {
  const worst = Math.min(...values);
  return createResult(target, worst >= limit, {values, limit, sign: '>='});
}

function createResult(
  target: string,
  met: boolean,
  {
    values,
    limit,
    sign,
  }: {values: readonly number[]; limit: number; sign: string},
): TargetResult {
  const shown = values.map(each => Number(each.toFixed(2))).join(' ');
  return {target: `${target} ${sign} ${limit}`, met, measured: shown};
}
