/**
 * Starts `program.cjs` from V8's code cache, which saves most of the start-up
 * time on a slow host.
 *
 * `--make-cache` writes the cache instead, after a warm-up with requests;
 * `--make-cache cold` writes it right after the program is loaded.
 * V8 rejects a cache made with another version of Node or other flags; the
 * program is then compiled as usual.
 */
'use strict';

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'program.cjs');
const cacheFile = join(__dirname, 'program.cache');
const isCacheBuild = process.argv[2] === '--make-cache';

const script = new Script(Module.wrap(readFileSync(filename, 'utf8')), {
  filename,
  cachedData:
    !isCacheBuild && existsSync(cacheFile)
      ? readFileSync(cacheFile)
      : undefined,
});
const program = {exports: {}};
const load = script.runInThisContext();
load(program.exports, require, program, filename, __dirname);

async function writeCache() {
  if (process.argv[3] !== 'cold') {
    const {warmUp} = require('./warm_up.cjs');
    await warmUp(program.exports);
  }
  writeFileSync(cacheFile, script.createCachedData());
  process.exit(0);
}

if (!isCacheBuild) program.exports.runProgram();
else {
  writeCache().catch(error => {
    console.error(error);
    process.exit(1);
  });
}
