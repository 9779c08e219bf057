/**
 * `npm run story -- plovdiv|tamar [--seed S] [--steady SECONDS]` runs one
 * user's system at its present size under load, through a series of faults.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Command} from 'commander';
import {createNineHostTopology} from '../../testing/system/topology.ts';
import {Scenario} from '../../testing/system/scenario.ts';
import {computeFigures, formatFigures, type PhaseFigures} from './figures.ts';
import {phases} from './phases.ts';

const users = {
  plovdiv: {
    places: createNineHostTopology(
      ['plovdiv', 'sofia'],
      ['plovdiv-a', 'plovdiv-b', 'sofia-a'],
    ),
    // Mostly letters and notices: long answers and few bookings.
    load: {openPerCustomer: 2, pauseMs: 60},
  },
  tamar: {
    places: createNineHostTopology(
      ['north', 'south'],
      ['launceston', 'devonport', 'hobart'],
    ),
    load: {openPerCustomer: 2, pauseMs: 30},
  },
} as const;

const command = new Command('story')
  .argument('<user>', 'plovdiv or tamar')
  .option('--seed <seed>', 'seed of the load generator', '1')
  .option('--steady <seconds>', 'seconds before the first fault', '10')
  .option('--no-network', 'run without the proxy and the phases that need it');
command.parse();
const {seed, steady, network} = command.opts<{
  seed: string;
  steady: string;
  network: boolean;
}>();
const user = users[command.args[0] as keyof typeof users];
if (!user) throw new Error(`Could not find the user "${command.args[0]}"`);

const figures: PhaseFigures[] = [];
const violations: string[] = [];
let exposed = 0;
const scenario = await Scenario.start({
  ...user.places,
  customers: 10,
  ...(network ? {network: {dataCentreMs: 1.5, regionMs: 30, callerMs: 3}} : {}),
});
try {
  {
    await using _load = scenario.startLoad(Number(seed), user.load);
    await runPhase('steady', () => sleep(Number(steady) * 1_000));
    for (const [name, run] of Object.entries(phases)) {
      if (!network && name.startsWith('the regions')) continue;
      await runPhase(name, () => run(scenario));
    }
  }
  violations.push(...(await scenario.check('h0')));
  exposed = scenario.system
    .listRuns()
    .filter(run => run.version === 'draft/next').length;
} finally {
  await scenario[Symbol.asyncDispose]();
}
console.log(formatFigures(figures));
console.log(`Runs on the version that went bad: ${exposed}`);
console.log(`What did not hold: ${violations.length === 0 ? 'nothing' : ''}`);
for (const each of violations.slice(0, 20)) console.log(`- ${each}`);
process.exit(violations.length === 0 ? 0 : 1);

async function runPhase(
  name: string,
  run: () => Promise<unknown>,
): Promise<void> {
  const fromMs = Date.now();
  try {
    await run();
  } catch (error) {
    violations.push(`${name}: ${(error as Error).message}`);
  }
  const phase = computeFigures(name, scenario.calls, fromMs, Date.now());
  figures.push(phase);
  console.error(JSON.stringify(phase));
}
