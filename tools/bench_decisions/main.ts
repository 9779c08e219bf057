/**
 * Compares the router's decisions with simple policies on seeded workloads.
 *
 * `npm run bench:decisions -- [SEEDS] [PROFILE]` prints Markdown tables.
 */
import {measureDecisionCost} from './measure_decision_cost.ts';
import {POLICIES} from './policies.ts';
import type {RunMetrics} from './run_metrics.ts';
import {runScenario} from './run_scenario.ts';
import {SCENARIOS} from './scenarios.ts';
import {checkTargets, findRuns} from './targets.ts';
import {PROFILES, type Profile} from './workload.ts';

/** Number of seeds unless given on the command line. */
const DEFAULT_SEEDS = 5;

const seeds = Array.from(
  {length: Number(process.argv[2] ?? DEFAULT_SEEDS)},
  (_, index) => index + 1,
);

async function comparePolicies(profile: Profile): Promise<void> {
  const results = new Map<string, RunMetrics[]>();
  for (const scenario of SCENARIOS) {
    for (const policy of POLICIES) {
      const runs: RunMetrics[] = [];
      for (const seed of seeds) {
        runs.push(await runScenario({profile, policy, scenario, seed}));
      }
      results.set(`${scenario.name}/${policy.name}`, runs);
    }
  }
  console.log(`\n## ${profile.name}, seeds ${seeds.join(', ')}\n`);
  console.log(`| ${COLUMNS.join(' | ')} |`);
  console.log(`|${COLUMNS.map(() => '---').join('|')}|`);
  for (const {name} of SCENARIOS) {
    for (const policy of POLICIES) {
      const runs = findRuns(results, name, policy.name);
      console.log(
        `| ${[name, policy.name, ...describeRuns(runs)].join(' | ')} |`,
      );
    }
  }
  console.log('\n| target | met | measured, each seed |\n|---|---|---|');
  const names = SCENARIOS.map(each => each.name);
  for (const {target, met, measured} of checkTargets(results, names)) {
    console.log(`| ${target} | ${met ? 'yes' : 'NO'} | ${measured} |`);
  }
}

const COLUMNS = [
  ...['situation', 'policy', 'cost', 'margin', 'below', 'p50 ms', 'p95 ms'],
  ...['p99 ms', 'exposed', 'Jain', 'smallest', 'slow link MB', 'answered/s'],
  ...['refused', 'failed'],
];

/** Returns medians over the seeds, but the worst margin and exposure. */
function describeRuns(runs: readonly RunMetrics[]): string[] {
  const median = (pick: (run: RunMetrics) => number) =>
    runs.map(pick).sort((a, b) => a - b)[Math.floor(runs.length / 2)] ?? NaN;
  return [
    median(each => each.cost).toFixed(1),
    Math.min(...runs.map(each => each.margin)).toFixed(3),
    median(each => each.belowTargetShare).toFixed(2),
    median(each => each.p50).toFixed(0),
    median(each => each.p95).toFixed(0),
    median(each => each.p99).toFixed(0),
    Math.max(...runs.map(each => each.exposed)).toFixed(0),
    median(each => each.fairness).toFixed(2),
    median(each => each.smallestShare).toFixed(2),
    median(each => each.slowLinkBytes / 1e6).toFixed(1),
    median(each => each.goodput).toFixed(1),
    median(each => each.refused / each.requests).toFixed(2),
    median(each => each.failed / each.requests).toFixed(2),
  ];
}

function printDecisionCost(): void {
  console.log('\n| versions | endpoints | plan µs | select µs | rebuild µs |');
  console.log('|---|---|---|---|---|');
  for (const endpoints of [9, 180, 1_800]) {
    const cost = measureDecisionCost({versions: 30, endpoints});
    const figures = [cost.planUs, cost.selectUs, cost.rebuildUs];
    const shown = figures.map(each => each.toFixed(1)).join(' | ');
    console.log(`| 30 | ${endpoints} | ${shown} |`);
  }
}

const selectedProfile = process.argv[3];
for (const profile of PROFILES) {
  if (selectedProfile === undefined || selectedProfile === profile.name)
    await comparePolicies(profile);
}
printDecisionCost();
