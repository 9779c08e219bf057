/**
 * Builds `target/parsleypond.cjs`, the program that runs on the platform, and
 * makes the secret that its daemons share.
 */
import {execFileSync} from 'node:child_process';
import {randomBytes} from 'node:crypto';
import {copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions} from './bundle_options.mjs';

/** The flag of `run` in deploy/system.toml. */
const HEAP_FLAG = '--max-old-space-size=200';

mkdirSync('target', {recursive: true});
await build({
  ...bundleOptions,
  minify: true,
  entryPoints: ['platform/main.ts'],
  outfile: 'target/program.cjs',
});
copyFileSync('scripts/launcher.cjs', 'target/parsleypond.cjs');
// The flags are those of deploy/system.toml: V8 takes the code under the same.
execFileSync(process.execPath, [
  HEAP_FLAG,
  'target/parsleypond.cjs',
  '--make-cache',
]);
writeFileSync('target/peer.secret', randomBytes(24).toString('hex'), {
  mode: 0o600,
});
console.log('Built target/parsleypond.cjs.');
