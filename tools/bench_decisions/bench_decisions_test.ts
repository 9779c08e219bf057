import assert from 'node:assert/strict';
import {test} from 'uvu';
import {POLICIES} from './policies.ts';
import type {RunMetrics} from './run_metrics.ts';
import {runScenario} from './run_scenario.ts';
import {SCENARIOS} from './scenarios.ts';
import {PROFILES} from './workload.ts';

const SEED = 1;

const runs = new Map<string, Promise<RunMetrics>>();

/** Runs a scenario; repeated calls share the result of one run. */
function run(
  profileName: string,
  scenarioName: string,
  policyName = 'parsleypond',
): Promise<RunMetrics> {
  const profile = PROFILES.find(each => each.name === profileName);
  const scenario = SCENARIOS.find(each => each.name === scenarioName);
  const policy = POLICIES.find(each => each.name === policyName);
  assert.ok(profile && scenario && policy);
  const key = [profileName, scenarioName, policyName].join('/');
  const known = runs.get(key);
  if (known) return known;
  const started = runScenario({profile, policy, scenario, seed: SEED});
  runs.set(key, started);
  return started;
}

test("quality targets are met at 60% of the best version's cost", async () => {
  for (const {name} of PROFILES) {
    const ours = await run(name, 'normal');
    const best = await run(name, 'normal', 'always best');
    assert.ok(ours.margin >= 0, `${name}: margin ${ours.margin}`);
    assert.ok(ours.cost <= 0.6 * best.cost, `${name}: cost ${ours.cost}`);
    assert.equal(ours.answered, ours.requests);
  }
});

test('routing keeps time to first token low on late reports', async () => {
  const ours = await run('plovdiv', 'lagging reports');
  const least = await run('plovdiv', 'lagging reports', 'least reported');
  assert.ok(ours.p95 <= 0.6 * least.p95, `${ours.p95} and ${least.p95}`);
});

test('a faulty version reaches few callers, and none when gated', async () => {
  const direct = await run('plovdiv', 'bad at 5%');
  assert.ok(direct.exposed <= 30, `${direct.exposed} exposed`);
  const gated = await run('plovdiv', 'bad at 5%, gated');
  assert.equal(gated.exposed, 0);
});

test('a service that is down does not slow another service', async () => {
  const usual = await run('plovdiv', 'normal');
  const beside = await run('plovdiv', 'dead service beside');
  assert.ok(beside.p95 <= 1.05 * usual.p95, `${beside.p95}, ${usual.p95}`);
});

test.run();
