/**
 * Runs the bundle of a directory, the second argument, without settings and
 * writes what V8 compiled meanwhile.
 */
const {rmSync, writeFileSync} = require('node:fs');
const {join} = require('node:path');
const process = require('node:process');

const target = process.argv[3];
const cacheFile = join(target, 'gateway-bundle.cache');
rmSync(cacheFile, {force: true});
const {script} = require(join(target, 'gateway.cjs'));
process.on('exit', () => {
  writeFileSync(cacheFile, script.createCachedData());
  process.exitCode = 0;
});
