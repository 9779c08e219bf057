/**
 * Starts the program beside it from V8's compiled code, which saves most of the
 * time that a start takes on a slow host.
 *
 * `--make-cache` writes that code instead, after the program served for a while;
 * with `cold` behind it, after the program was loaded.
 * V8 refuses it when the version of Node or its flags differ; the program then
 * compiles itself as usual.
 */
'use strict';

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'program.cjs');
const cacheFile = join(__dirname, 'program.cache');
const makesCache = process.argv[2] === '--make-cache';

const script = new Script(Module.wrap(readFileSync(filename, 'utf8')), {
  filename,
  cachedData:
    !makesCache && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
const program = {exports: {}};
const load = script.runInThisContext();
load(program.exports, require, program, filename, __dirname);

async function makeCache() {
  if (process.argv[3] !== 'cold') {
    const {warmUp} = require('./warm_up.cjs');
    await warmUp(program.exports);
  }
  writeFileSync(cacheFile, script.createCachedData());
  process.exit(0);
}

if (!makesCache) program.exports.runProgram();
else {
  makeCache().catch(error => {
    console.error(error);
    process.exit(1);
  });
}
