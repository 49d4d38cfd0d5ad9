/** Builds the single binary: bundle, blob, copy of the node binary. */
import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const OUTPUT = 'dist';
const BUNDLE = join(OUTPUT, 'siskinplank.cjs');
const BLOB = join(OUTPUT, 'siskinplank.blob');
const BINARY = join(OUTPUT, 'siskinplank');
const SEA_CONFIG = join(OUTPUT, 'sea-config.json');
/** Marker in the node binary of the section for the blob. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(OUTPUT, {recursive: true});
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
  // Optional native accelerators; the libraries work without them.
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
});
writeFileSync(
  SEA_CONFIG,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIG], {
  stdio: 'inherit',
});
rmSync(BINARY, {force: true});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), {
  sentinelFuse: SENTINEL_FUSE,
});
