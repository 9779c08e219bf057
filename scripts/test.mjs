/**
 * Builds the program, runs all tests and ends with `N passed, N failed`.
 *
 * `node scripts/test.mjs PATTERN` runs the test files whose path matches.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

/** How long one test file may run. */
const FILE_TIMEOUT_MS = 300_000;

function listTests(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listTests(path);
    return path.endsWith('_test.ts') ? [path] : [];
  });
}

const pattern = new RegExp(process.argv[2] ?? '');
const files = ['src', 'testing', 'tools']
  .filter(folder => existsSync(folder))
  .flatMap(listTests)
  .filter(file => pattern.test(file))
  .sort();
const build = spawnSync(process.execPath, ['scripts/build.mjs'], {
  encoding: 'utf8',
});
if (build.status !== 0) {
  console.log(build.stdout, build.stderr);
  console.log('0 passed, 1 failed');
  process.exit(1);
}
let passed = 0;
let failed = 0;
for (const file of files) {
  const started = Date.now();
  const run = spawnSync(process.execPath, ['--import', 'tsx', file], {
    encoding: 'utf8',
    timeout: FILE_TIMEOUT_MS,
    maxBuffer: 64 * 1024 * 1024,
    env: {...process.env, NO_COLOR: '1'},
  });
  const total = Number(/Total:\s+(\d+)/.exec(run.stdout)?.[1] ?? 0);
  const ok = Number(/Passed:\s+(\d+)/.exec(run.stdout)?.[1] ?? 0);
  // A file that died, or that ran no test, is a failure of its own.
  const broken = run.status !== 0 && total === ok ? 1 : total === 0 ? 1 : 0;
  passed += ok;
  failed += total - ok + broken;
  const seconds = ((Date.now() - started) / 1_000).toFixed(1);
  console.log(`${file}: ${ok} of ${total} passed in ${seconds} s`);
  if (total !== ok || broken) console.log(run.stdout, run.stderr);
}
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
