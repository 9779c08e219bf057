/**
 * Shows what each mechanism of the quarantine is worth: runs its tests on copies
 * of the sources in which one mechanism is switched off.
 *
 * `npm run mutants:quarantine -- [NAME...]`. PROMPT_CRASH_SEEDS and
 * PROMPT_CRASH_FROM set the histories, as in the test. Ends with an error when
 * no test fails on a copy, or when a text to change is not found once.
 */
import {execFile} from 'node:child_process';
import {cp, mkdtemp, readFile, rm, symlink, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {HistoryFigures} from '../../src/coordination/forwarding/prompt_history.ts';
import {MUTANTS, type Mutant} from './mutants.ts';

const TESTS = [
  'src/coordination/core/core_state_test.ts',
  'src/coordination/forwarding/suspect_table_test.ts',
  'src/coordination/forwarding/prompt_quarantine_test.ts',
  'src/coordination/forwarding/prompt_crash_test.ts',
];

/** What a copy needs to run the tests. */
const COPIED = ['src', 'package.json', 'tsconfig.json'];

const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

interface TestResult {
  readonly failed: readonly string[];
  /** The figures of its histories, by what they were played with. */
  readonly figures: ReadonlyMap<string, readonly HistoryFigures[]>;
}

async function runMutant(mutant: Mutant): Promise<boolean> {
  const folder = await mkdtemp(join(tmpdir(), 'quarantine-mutant-'));
  try {
    await createCopy(folder, mutant);
    const results = [];
    for (const file of TESTS) results.push(await runTest(folder, file));
    const failed = results.flatMap(result => result.failed);
    console.log(`${mutant.name}: ${failed.length} tests failed`);
    for (const name of failed) console.log(`  ${name}`);
    for (const {figures} of results) {
      for (const [kind, histories] of figures) {
        console.log(`  ${kind} ${describeFigures(histories)}`);
      }
    }
    return failed.length > 0;
  } finally {
    await rm(folder, {recursive: true, force: true});
  }
}

async function createCopy(folder: string, {edits}: Mutant): Promise<void> {
  for (const each of COPIED) {
    await cp(each, join(folder, each), {recursive: true});
  }
  await symlink(
    join(process.cwd(), 'node_modules'),
    join(folder, 'node_modules'),
  );
  for (const {file, from, to} of edits) {
    const path = join(folder, file);
    const source = await readFile(path, 'utf8');
    const parts = source.split(from);
    if (parts.length !== 2) {
      throw new Error(`cannot change ${file}: ${from} is there not just once`);
    }
    await writeFile(path, parts.join(to));
  }
}

function runTest(folder: string, file: string): Promise<TestResult> {
  return new Promise((resolve, reject) => {
    execFile(
      process.execPath,
      ['--import', 'tsx', file],
      {
        cwd: folder,
        env: {...process.env, PROMPT_CRASH_PRINT: '1'},
        maxBuffer: MAX_OUTPUT_BYTES,
      },
      (error, stdout, stderr) => {
        const failed = [...stdout.matchAll(/FAIL +"(.*)"/g)].flatMap(
          ([, name]) => name ?? [],
        );
        // A crash of the test itself is not a failure that a check found.
        if (error && failed.length === 0) reject(new Error(stdout + stderr));
        else resolve({failed, figures: parseFigures(stdout)});
      },
    );
  });
}

function parseFigures(output: string): Map<string, HistoryFigures[]> {
  const figures = new Map<string, HistoryFigures[]>();
  for (const [, kind = '', json = ''] of output.matchAll(
    /(\{.*\}) (\{"seed":.*\})$/gm,
  )) {
    const histories = figures.get(kind) ?? [];
    figures.set(kind, [...histories, JSON.parse(json) as HistoryFigures]);
  }
  return figures;
}

function describeFigures(histories: readonly HistoryFigures[]): string {
  const crashes = histories.flatMap(each => each.crashes).sort((a, b) => a - b);
  const ratios = histories.flatMap(({soundRatio}) => soundRatio ?? []);
  const mean = ratios.reduce((sum, each) => sum + each, 0) / ratios.length;
  const wrong = histories.filter(({condemnedSound}) => condemnedSound > 0);
  return [
    `late ${Math.max(0, ...histories.flatMap(({late}) => late))}`,
    `ended ${crashes[Math.floor(crashes.length / 2)] ?? 0}, ${crashes.at(-1) ?? 0}`,
    `sound ${mean.toFixed(2)}, ${Math.min(...ratios).toFixed(2)}`,
    `condemned sound parts in ${wrong.length} of ${histories.length}`,
  ].join('; ');
}

const names = process.argv.slice(2);
const mutants = MUTANTS.filter(
  ({name}) => names.length === 0 || names.includes(name),
);
const survivors = [];
for (const mutant of mutants) {
  if (!(await runMutant(mutant))) survivors.push(mutant.name);
}
if (survivors.length > 0) {
  console.log(`no test failed: ${survivors.join(', ')}`);
  process.exitCode = 1;
}
