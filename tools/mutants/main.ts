/**
 * Runs the tests of a mechanism on copies of the sources, in each of which a part
 * of it is switched off or built in another way, and prints the figures.
 *
 * `npm run mutants -- SUITE [NAME...]`. The tests read the seeds that they play
 * from the environment. Ends with an error when a mutant fails no test that
 * passes on the unchanged sources, or when a text to change is not found once.
 */
import {execFile} from 'node:child_process';
import {cp, mkdtemp, readFile, rm, symlink, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {CONFIRMATION} from './confirmation.ts';
import {HANDOVERS} from './handover.ts';
import {HOME_REGIONS} from './homes.ts';
import {ALTERNATIVES, MEMBERSHIP} from './membership.ts';
import {MEMORY} from './memory.ts';
import {NEWS} from './news.ts';
import {ORDERS} from './orders.ts';
import {QUARANTINE} from './quarantine.ts';
import {RELAYS} from './relay.ts';
import {REQUEST_READER} from './request_reader.ts';
import type {Mutant, Suite} from './suite.ts';

const SUITES: ReadonlyMap<string, Suite> = new Map([
  ['confirmation', CONFIRMATION],
  ['handover', HANDOVERS],
  ['homes', HOME_REGIONS],
  ['news', NEWS],
  ['orders', ORDERS],
  ['quarantine', QUARANTINE],
  ['relay', RELAYS],
  ['request-reader', REQUEST_READER],
  ['membership', MEMBERSHIP],
  ['memory', MEMORY],
  ['membership-alternatives', ALTERNATIVES],
]);

/** What a copy needs to run the tests. */
const COPIED = ['src', 'package.json', 'tsconfig.json'];

const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

const UNCHANGED: Mutant = {name: 'unchanged', edits: []};

interface TestResult {
  readonly failed: readonly string[];
  readonly output: string;
}

/** Returns the tests that fail on a copy. */
async function runMutant(mutant: Mutant, suite: Suite): Promise<string[]> {
  const folder = await mkdtemp(join(tmpdir(), 'mutant-'));
  try {
    await createCopy(folder, mutant);
    const results = [];
    for (const file of suite.tests) {
      results.push(await runTest(folder, {file, env: suite.env}));
    }
    const failed = results.flatMap(result => result.failed);
    console.log(`${mutant.name}: ${failed.length} tests failed`);
    const output = results.map(result => result.output).join('\n');
    for (const line of [...failed, ...suite.describeOutput(output)]) {
      console.log(`  ${line}`);
    }
    return failed;
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

function runTest(
  folder: string,
  {file, env}: {file: string; env: Suite['env']},
): Promise<TestResult> {
  return new Promise((resolve, reject) => {
    execFile(
      process.execPath,
      ['--import', 'tsx', file],
      {
        cwd: folder,
        env: {...process.env, ...env},
        maxBuffer: MAX_OUTPUT_BYTES,
      },
      (error, stdout, stderr) => {
        const failed = [...stdout.matchAll(/FAIL +"(.*)"/g)].flatMap(
          ([, name]) => name ?? [],
        );
        // A crash of the test itself is not a failure that a check found.
        if (error && failed.length === 0) reject(new Error(stdout + stderr));
        else resolve({failed, output: stdout});
      },
    );
  });
}

const [suiteName = '', ...names] = process.argv.slice(2);
const suite = SUITES.get(suiteName);
if (!suite) throw new Error(`unknown suite "${suiteName}"`);
const chosen = suite.mutants.filter(
  ({name}) => names.length === 0 || names.includes(name),
);
const failsUnchanged = await runMutant(UNCHANGED, suite);
const survivors = [];
for (const mutant of chosen) {
  const failed = await runMutant(mutant, suite);
  if (failed.every(test => failsUnchanged.includes(test))) {
    survivors.push(mutant.name);
  }
}
if (suite.mustFail && survivors.length > 0) {
  console.log(`no test failed: ${survivors.join(', ')}`);
  process.exitCode = 1;
}
