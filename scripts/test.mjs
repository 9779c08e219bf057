/**
 * Builds the program, runs all tests and ends with `N passed, N failed`.
 *
 * `node scripts/test.mjs PATTERN` runs the test files whose path matches. Files
 * that KNOWN-RED.txt names in a line `ci: passes over FILE` run and are printed,
 * but their failures do not count.
 */
import {execFile, spawnSync} from 'node:child_process';
import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

/** Maximum run time of one test file. */
const FILE_TIMEOUT_MS = 300_000;

/** Time that a test process has to exit after its last test. */
const EXIT_GRACE_MS = 10_000;

/** Number of unit test files that run in parallel. */
const UNIT_TESTS_AT_ONCE = 4;

/** Tests that measure the memory of processes run one at a time. */
const RUN_ALONE = /rough_(callers|heads|pipelining)_site_test/;

function listTests(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listTests(path);
    return path.endsWith('_test.ts') ? [path] : [];
  });
}

const knownRed = new Set(
  [
    ...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(
      /^ +ci: passes over (\S+)$/gm,
    ),
  ].map(([, file]) => file),
);
const pattern = new RegExp(process.argv[2] ?? '');
const files = ['src', 'platform', 'testing', 'tools']
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

/** Runs one file and adds its test counts to the totals. */
async function runFile(file) {
  const started = Date.now();
  const run = await execute(file);
  const total = Number(/Total:\s+(\d+)/.exec(run.stdout)?.[1] ?? 0);
  const ok = Number(/Passed:\s+(\d+)/.exec(run.stdout)?.[1] ?? 0);
  // A file that crashed or ran no test counts as one failure.
  const crashCount = (run.code !== 0 && total === ok) || total === 0 ? 1 : 0;
  const isKnownRed = knownRed.has(file);
  passed += ok;
  if (!isKnownRed) failed += total - ok + crashCount;
  const seconds = ((Date.now() - started) / 1_000).toFixed(1);
  const note = isKnownRed ? ' (known red, not counted)' : '';
  console.log(`${file}: ${ok} of ${total} passed in ${seconds} s${note}`);
  if (total !== ok || crashCount) console.log(run.stdout, run.stderr);
}

function execute(file) {
  const options = {
    timeout: FILE_TIMEOUT_MS,
    maxBuffer: 64 * 1024 * 1024,
    env: {...process.env, NO_COLOR: '1'},
  };
  const args = [
    '--import',
    'tsx',
    '--import',
    './scripts/report_open_handles.mjs',
    file,
  ];
  let wasKilled = false;
  return new Promise(resolve => {
    const child = execFile(
      process.execPath,
      args,
      options,
      (error, stdout, stderr) => {
        // The runtime may hang on exit after the event loop has ended; then the
        // file's own exit code counts.
        const ended = /^Event loop ended: (\d+)$/m.exec(stdout);
        const code = wasKilled && ended ? Number(ended[1]) : error ? 1 : 0;
        if (wasKilled) {
          console.log(`${file}: held open, ${describeHolder(ended)}`);
        }
        resolve({code, stdout, stderr});
      },
    );
    child.stdout.on('data', text => {
      // A file whose handles keep its process alive has failed.
      if (!String(text).includes('Duration:')) return;
      setTimeout(() => {
        wasKilled = child.kill('SIGTERM');
      }, EXIT_GRACE_MS).unref();
    });
  });
}

function describeHolder(ended) {
  return ended ? 'by the runtime after its event loop' : 'by a handle';
}

/** Runs files, up to `atOnce` in parallel. */
async function runFiles(queue, atOnce) {
  const workers = Array.from({length: atOnce}, async () => {
    for (let file = queue.shift(); file; file = queue.shift()) {
      await runFile(file);
    }
  });
  await Promise.all(workers);
}

// Unit tests do not depend on real time and can run in parallel; tests with
// real processes run one at a time.
const isUnitTest = file =>
  (file.startsWith('src') || file.startsWith('platform')) &&
  !RUN_ALONE.test(file);
await runFiles(files.filter(isUnitTest), UNIT_TESTS_AT_ONCE);
await runFiles(
  files.filter(file => !isUnitTest(file)),
  1,
);
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
