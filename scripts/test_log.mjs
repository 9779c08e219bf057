/**
 * Runs random operation sequences against the replicated log for a given time.
 *
 * `npm run test:log -- --seconds N [--seed S]` prints the seed, so that a
 * failure can be reproduced.
 */
import {spawnSync} from 'node:child_process';
import {parseArgs} from 'node:util';

const {values} = parseArgs({
  options: {
    seconds: {type: 'string', default: '60'},
    seed: {type: 'string', default: String(Date.now() % 1_000_000_007)},
  },
});
console.log(`Seed ${values.seed}, ${values.seconds} seconds.`);
const run = spawnSync(
  process.execPath,
  ['--import', 'tsx', 'src/coordination/replication/replica_test.ts'],
  {
    stdio: 'inherit',
    env: {
      ...process.env,
      LOG_TEST_SEED: values.seed,
      LOG_TEST_SECONDS: values.seconds,
      LOG_TEST_RUNS: '1000000000',
    },
  },
);
process.exit(run.status ?? 1);
