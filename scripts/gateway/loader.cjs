/**
 * Starts the bundle with V8's code cache, since compiling takes a third of the
 * start of a process. A cache of another version or with other flags is refused
 * by V8, and the bundle is then compiled.
 */
const {existsSync, readFileSync} = require('node:fs');
const {createRequire, wrap} = require('node:module');
const {dirname, join} = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

// SIGHUP would end the process. The settings are read after the bundle is loaded.
process.on('SIGHUP', () => undefined);

const directory = dirname(module.filename);
const filename = join(directory, 'gateway-bundle.cjs');
const cacheFile = join(directory, 'gateway-bundle.cache');
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
  directory,
);
module.exports = {script};
