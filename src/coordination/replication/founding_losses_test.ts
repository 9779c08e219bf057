/**
 * Guards against a first start that waits for ever for a host that is gone, and
 * against two groups.
 *
 * FOUNDING_SEEDS sets how many histories of each trouble are played, from
 * FOUNDING_FROM on; FOUNDING_PRINT prints the figures of each, and FOUNDING_TRACE
 * what the hosts log.
 */
import assert from 'node:assert/strict';
import {test} from 'uvu';
import {
  runFormation,
  runFormationStorm,
  TROUBLES,
  type FormationFigures,
} from './formation_history.ts';

const SEEDS = Number(process.env['FOUNDING_SEEDS'] ?? 6);
const FIRST_SEED = Number(process.env['FOUNDING_FROM'] ?? 1);

/** The longest time from a loss until a command is committed. */
const MAX_COMMIT_MS = 6_000;

/** The same once the group has been repaired. */
const MAX_FURTHER_MS = 5_000;

const trace = process.env['FOUNDING_TRACE']
  ? (line: string, fields?: object) => console.log(line, fields ?? '')
  : undefined;

function describeFailure(figures: FormationFigures): string[] {
  const {seed, setting, commitMs, furtherMs, failures} = figures;
  const late = [
    ...(commitMs > MAX_COMMIT_MS ? [`first commit after ${commitMs} ms`] : []),
    ...(furtherMs > MAX_FURTHER_MS
      ? [`commit after a further loss after ${furtherMs} ms`]
      : []),
  ];
  return [...failures, ...late].map(
    each => `seed ${seed} (${setting}): ${each}`,
  );
}

// Guards against a formation that waits for ever for a founder that is gone, and
// against the loss of what its group acknowledged.
for (const trouble of TROUBLES) {
  test(`a group is formed once, and soon, in spite of trouble: ${trouble}`, async () => {
    const wrong: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      const figures = await runFormation(seed, {trouble, trace});
      if (process.env['FOUNDING_PRINT']) console.log(JSON.stringify(figures));
      wrong.push(...describeFailure(figures));
    }
    assert.deepEqual(wrong, []);
  });
}

// Guards against two groups when more founders and disks are lost than is tolerated.
test('no two groups are formed, whatever is lost', async () => {
  const wrong: string[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const failures = await runFormationStorm(seed, {trace});
    wrong.push(...failures.map(each => `seed ${seed}: ${each}`));
  }
  assert.deepEqual(wrong, []);
});

test.run();
