/**
 * Builds the single executable `dist/parsleypond` and the test programs.
 */
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions} from './bundle_options.mjs';

/** The fuse in Node's executable that enables an embedded program. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', {recursive: true});
await build({
  ...bundleOptions,
  entryPoints: ['src/cli/main.ts'],
  outfile: 'dist/parsleypond.cjs',
});
await build({
  ...bundleOptions,
  entryPoints: {
    engine: 'testing/stand_ins/engine_main.ts',
    service: 'testing/stand_ins/service_main.ts',
    rating: 'testing/stand_ins/rating_main.ts',
    weights: 'testing/stand_ins/weights_main.ts',
  },
  outdir: 'dist/stand_ins',
  outExtension: {'.js': '.cjs'},
});
writeFileSync(
  'dist/sea.json',
  JSON.stringify({
    main: 'dist/parsleypond.cjs',
    output: 'dist/parsleypond.blob',
    disableExperimentalSEAWarning: true,
  }),
);
const quiet = {stdio: 'pipe'};
execFileSync(
  process.execPath,
  ['--experimental-sea-config', 'dist/sea.json'],
  quiet,
);
copyFileSync(process.execPath, 'dist/parsleypond.tmp');
chmodSync('dist/parsleypond.tmp', 0o755);
execFileSync(
  'node_modules/.bin/postject',
  [
    'dist/parsleypond.tmp',
    'NODE_SEA_BLOB',
    'dist/parsleypond.blob',
    '--sentinel-fuse',
    FUSE,
  ],
  quiet,
);
// Replaced atomically, so that a running test never sees a partial file.
renameSync('dist/parsleypond.tmp', 'dist/parsleypond');
console.log('Built dist/parsleypond.');
