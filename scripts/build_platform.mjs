/**
 * Builds `target/parsleypond.cjs`, the program for the deployment platform, and
 * places the secret that its daemons share.
 */
import {execFileSync} from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions, daemonBundleOptions} from './bundle_options.mjs';
import {readPeerSecret} from './peer_secret.mjs';

/** Must equal the flag of `run` in deploy/system.toml. */
const HEAP_FLAG = '--max-old-space-size=200';

/** The daemons' shared secret; settings.toml.template has this path, too. */
const SECRET_FILE = 'target/peer.secret';

mkdirSync('target', {recursive: true});
/**
 * Places a file as a whole: tests build while processes of other tests start, which
 * failed on half a program.
 */
async function placeFile(path, write) {
  const unfinished = `${path}.${process.pid}`;
  await write(unfinished);
  renameSync(unfinished, path);
}

await placeFile('target/program.cjs', outfile =>
  build({
    ...daemonBundleOptions,
    entryPoints: ['platform/main.ts'],
    outfile,
  }),
);
await placeFile('target/warm_up.cjs', outfile =>
  build({
    ...bundleOptions,
    entryPoints: ['platform/warm_up.ts'],
    outfile,
  }),
);
await placeFile('target/parsleypond.cjs', path =>
  copyFileSync('scripts/launcher.cjs', path),
);
/**
 * Writes V8's code cache. It is made with the heap flag of deploy/system.toml
 * because V8 rejects a cache made with other flags.
 */
function writeCache(...options) {
  execFileSync(
    process.execPath,
    [HEAP_FLAG, 'target/parsleypond.cjs', '--make-cache', ...options],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
}

try {
  writeCache();
} catch (error) {
  // The program works without the warm-up, but its first requests are slower.
  console.warn(
    `Could not warm up; writing the cache without a warm-up: ${error.message}`,
  );
  writeCache('cold');
}
// Keeps an existing secret, since daemons that are still running use it.
if (!existsSync(SECRET_FILE)) {
  writeFileSync(SECRET_FILE, readPeerSecret(), {mode: 0o600});
}
console.log('Built target/parsleypond.cjs.');
