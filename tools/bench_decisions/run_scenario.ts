/** Runs one policy in one scenario with one seed. */
import type {Policy} from './policies.ts';
import {measureRun, type RunMetrics} from './run_metrics.ts';
import type {Scenario} from './scenarios.ts';
import {createWorkload, type Profile} from './workload.ts';
import {Simulation} from './simulation.ts';

export interface RunScenarioOptions {
  readonly profile: Profile;
  readonly policy: Policy;
  readonly scenario: Scenario;
  readonly seed: number;
}

/** Calls per second to the other service. */
const FILING_RATE = 4;

/** Time in which open requests may end after the last arrival. */
const DRAIN_MS = 30_000;

export async function runScenario({
  profile,
  policy,
  scenario,
  seed,
}: RunScenarioOptions): Promise<RunMetrics> {
  const {durationMs, lagMs, rate} = scenario;
  const simulation = new Simulation({
    ...{profile, policy, seed, durationMs, lagMs},
    ...scenario.simulation,
  });
  const gateways = simulation.gateways.length;
  const work = {profile, durationMs, gateways};
  simulation.start();
  for (const item of createWorkload({
    ...work,
    seed,
    rate,
  })) {
    void simulation.runCompletion(item);
  }
  for (const item of createWorkload({
    ...work,
    seed: seed + 500,
    rate: FILING_RATE,
  })) {
    void simulation.runServiceCall(item);
  }
  void scenario.injectFaults?.(simulation);
  await simulation.clock.run(durationMs);
  const finished = simulation.draftEngines.reduce(
    (sum, each) => sum + each.served,
    0,
  );
  await simulation.clock.run(durationMs + DRAIN_MS);
  return measureRun({
    profile,
    durationMs,
    finished,
    records: simulation.records,
    exposed: simulation.exposed,
    slowLinkBytes: simulation.slowLinkBytes,
  });
}
