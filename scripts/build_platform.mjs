/**
 * Builds `target/parsleypond.cjs`, the program that runs on the platform, and
 * makes the secret that its daemons share.
 */
import {execFileSync} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {copyFileSync, existsSync, mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions, daemonBundleOptions} from './bundle_options.mjs';

/** The flag of `run` in deploy/system.toml. */
const HEAP_FLAG = '--max-old-space-size=200';

/** The secret that daemons share; settings.toml.template names it, too. */
const SECRET_FILE = 'target/peer.secret';

mkdirSync('target', {recursive: true});
await build({
  ...daemonBundleOptions,
  entryPoints: ['platform/main.ts'],
  outfile: 'target/program.cjs',
});
await build({
  ...bundleOptions,
  entryPoints: ['platform/warm_up.ts'],
  outfile: 'target/warm_up.cjs',
});
copyFileSync('scripts/launcher.cjs', 'target/parsleypond.cjs');
/** Keeps V8's code; under the flags of deploy/system.toml V8 takes it. */
function makeCache(...options) {
  execFileSync(
    process.execPath,
    [HEAP_FLAG, 'target/parsleypond.cjs', '--make-cache', ...options],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
}

try {
  makeCache();
} catch (error) {
  // The program serves without; its first requests take longer.
  console.warn(`Could not warm the program up: ${error.message}`);
  makeCache('cold');
}
// Daemons that run on go by the secret of the first build of this folder.
if (!existsSync(SECRET_FILE)) {
  writeFileSync(SECRET_FILE, randomBytes(24).toString('hex'), {mode: 0o600});
}
console.log('Built target/parsleypond.cjs.');
