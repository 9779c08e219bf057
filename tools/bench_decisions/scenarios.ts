/** The scenarios in which the policies are compared. */
import type {Simulation, SimulationOptions} from './simulation.ts';

export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** Requests per second. */
  readonly rate: number;
  readonly lagMs: number;
  readonly simulation?: Pick<SimulationOptions, 'rollout' | 'exposure'>;
  /** Injects faults during the run. */
  readonly injectFaults?: (simulation: Simulation) => Promise<void>;
}

/** Delay of load reports in most scenarios. */
const USUAL_LAG_MS = 300;

/** Requests per second that overload no policy. */
const NORMAL_RATE = 7;

/** Requests per second at which the planned mix of versions is saturated. */
export const CAPACITY_RATE = 18;

const base = {durationMs: 120_000, rate: NORMAL_RATE, lagMs: USUAL_LAG_MS};

export const SCENARIOS: readonly Scenario[] = [
  {...base, name: 'normal'},
  {...base, name: 'at capacity', rate: CAPACITY_RATE},
  {...base, name: 'overload 1.5', rate: 1.5 * CAPACITY_RATE},
  {
    ...base,
    name: 'one slow endpoint',
    injectFaults: async simulation => {
      simulation.draftEngines[0]!.slowdown = 5;
    },
  },
  {
    ...base,
    name: 'dead service beside',
    injectFaults: async simulation => {
      for (const engine of simulation.filingEngines) engine.isDown = true;
    },
  },
  {
    ...base,
    name: 'bad at 5%',
    durationMs: 300_000,
    simulation: {rollout: {share: 0.05, completed: false}},
    injectFaults: async simulation => {
      simulation.faultyVersions.add('draft/next');
    },
  },
  {
    ...base,
    name: 'bad at 5%, gated',
    durationMs: 300_000,
    simulation: {rollout: {share: 0.05, completed: false}, exposure: 'gated'},
    injectFaults: async simulation => {
      simulation.faultyVersions.add('draft/next');
    },
  },
  {
    ...base,
    name: 'bad after full',
    durationMs: 240_000,
    simulation: {rollout: {share: 1, completed: true}},
    injectFaults: async simulation => {
      await simulation.clock.sleep(120_000);
      simulation.faultyVersions.add('draft/next');
    },
  },
  {
    ...base,
    name: 'rating away',
    injectFaults: async simulation => {
      await simulation.clock.sleep(30_000);
      simulation.isRatingDown = true;
    },
  },
  {...base, name: 'lagging reports', lagMs: 4_000, rate: 1.4 * NORMAL_RATE},
  {
    ...base,
    name: 'pool run dry',
    injectFaults: async simulation => {
      const stopped = simulation.draftEngines.slice(0, 4);
      await simulation.clock.sleep(30_000);
      for (const engine of stopped) simulation.setDown(engine, true);
      await simulation.clock.sleep(40_000);
      for (const engine of stopped) simulation.setDown(engine, false);
    },
  },
];
