/**
 * Builds `target/parsleypond.cjs`, the program that runs on the platform, and
 * makes the secret that its daemons share.
 */
import {randomBytes} from 'node:crypto';
import {mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

mkdirSync('target', {recursive: true});
await build({
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning',
  entryPoints: ['platform/main.ts'],
  outfile: 'target/parsleypond.cjs',
});
writeFileSync('target/peer.secret', randomBytes(24).toString('hex'), {
  mode: 0o600,
});
console.log('Built target/parsleypond.cjs.');
