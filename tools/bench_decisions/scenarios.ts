/** The scenarios in which the policies are compared. */
import type {World, WorldOptions} from './world.ts';

export interface Scenario {
  readonly name: string;
  readonly durationMs: number;
  /** Requests per second. */
  readonly rate: number;
  readonly lagMs: number;
  readonly world?: Pick<WorldOptions, 'rollout' | 'exposure'>;
  /** Injects faults during the run. */
  readonly disturb?: (world: World) => Promise<void>;
}

/** Delay of load reports in most scenarios. */
const USUAL_LAG_MS = 300;

/** Requests per second that overload no policy. */
const NORMAL_RATE = 7;

/** Requests per second at which the planned mix of versions is saturated. */
export const CAPACITY_RATE = 18;

const usual = {durationMs: 120_000, rate: NORMAL_RATE, lagMs: USUAL_LAG_MS};

export const SCENARIOS: readonly Scenario[] = [
  {...usual, name: 'normal'},
  {...usual, name: 'at capacity', rate: CAPACITY_RATE},
  {...usual, name: 'overload 1.5', rate: 1.5 * CAPACITY_RATE},
  {
    ...usual,
    name: 'one slow endpoint',
    disturb: async world => {
      world.drafting[0]!.slowness = 5;
    },
  },
  {
    ...usual,
    name: 'dead service beside',
    disturb: async world => {
      for (const engine of world.filing) engine.dead = true;
    },
  },
  {
    ...usual,
    name: 'bad at 5%',
    durationMs: 300_000,
    world: {rollout: {share: 0.05, completed: false}},
    disturb: async world => {
      world.bad.add('draft/next');
    },
  },
  {
    ...usual,
    name: 'bad at 5%, gated',
    durationMs: 300_000,
    world: {rollout: {share: 0.05, completed: false}, exposure: 'gated'},
    disturb: async world => {
      world.bad.add('draft/next');
    },
  },
  {
    ...usual,
    name: 'bad after full',
    durationMs: 240_000,
    world: {rollout: {share: 1, completed: true}},
    disturb: async world => {
      await world.clock.sleep(120_000);
      world.bad.add('draft/next');
    },
  },
  {
    ...usual,
    name: 'rating away',
    disturb: async world => {
      await world.clock.sleep(30_000);
      world.ratingAway = true;
    },
  },
  {...usual, name: 'lagging reports', lagMs: 4_000, rate: 1.4 * NORMAL_RATE},
  {
    ...usual,
    name: 'pool run dry',
    disturb: async world => {
      const gone = world.drafting.slice(0, 4);
      await world.clock.sleep(30_000);
      for (const engine of gone) world.setGone(engine, true);
      await world.clock.sleep(40_000);
      for (const engine of gone) world.setGone(engine, false);
    },
  },
];
