/** Runs the bundle without settings and writes what V8 compiled meanwhile. */
const {rmSync, writeFileSync} = require('node:fs');
const {join, resolve} = require('node:path');
const process = require('node:process');

const target = resolve('target');
const cacheFile = join(target, 'gateway-bundle.cache');
rmSync(cacheFile, {force: true});
const {script} = require(join(target, 'gateway.cjs'));
process.on('exit', () => {
  writeFileSync(cacheFile, script.createCachedData());
  process.exitCode = 0;
});
