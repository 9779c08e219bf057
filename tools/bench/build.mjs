/** Bundles the benchmark's load generator and pass-through baseline. */
import {build} from 'esbuild';

await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
  logLevel: 'warning',
  entryPoints: {
    load: 'tools/bench/load_main.ts',
    pass_through: 'tools/bench/pass_through_main.ts',
  },
  outdir: 'dist/bench',
  outExtension: {'.js': '.mjs'},
  // The bundled libraries are CommonJS and `require` Node's own modules.
  banner: {
    js: "import {createRequire} from 'node:module';const require = createRequire(import.meta.url);",
  },
});
