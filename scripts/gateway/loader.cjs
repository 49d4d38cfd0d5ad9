/**
 * Starts the bundle with V8's code cache, since compiling takes a third of the
 * start of a process. A cache of another version or with other flags is refused
 * by V8, and the bundle is then compiled.
 */
const {existsSync, readFileSync} = require('node:fs');
const {createRequire, wrap} = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const filename = join(__dirname, 'gateway-bundle.cjs');
const cacheFile = join(__dirname, 'gateway-bundle.cache');
const script = new Script(wrap(readFileSync(filename, 'utf8')), {
  filename,
  cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
const bundle = {exports: {}};
script.runInThisContext()(
  bundle.exports,
  createRequire(filename),
  bundle,
  filename,
  __dirname,
);
module.exports = {script};
