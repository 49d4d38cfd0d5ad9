/**
 * Builds the gateway for the users' platform: `target/gateway.cjs`, which loads
 * the bundle and its code cache beside it. An argument names another directory
 * than `target`, so that builds that run at the same time have one each.
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdirSync} from 'node:fs';
import {join, resolve} from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/** The heap limit of `deploy/system.toml`; V8 refuses caches of other flags. */
const NODE_FLAGS = ['--max-old-space-size=160'];
const UNDICI_PARTS = resolve('scripts/gateway/undici.cjs');
const OMITTED = resolve('scripts/gateway/omitted.cjs');
/** Modules that take processor time at the start and are never called. */
const OMITTED_MODULES =
  /^(\.\/client-h2(\.js)?|\.\/lib\/pushgateway|fast-glob)$/;

/** Leaves parts of libraries out of the bundle. */
const leaveOutParts = {
  name: 'leave-out-parts',
  setup: bundle => {
    bundle.onResolve({filter: /^undici$/}, () => ({path: UNDICI_PARTS}));
    bundle.onResolve({filter: OMITTED_MODULES}, () => ({path: OMITTED}));
  },
};

const target = resolve(process.argv[2] ?? 'target');
mkdirSync(target, {recursive: true});
await build({
  entryPoints: ['packages/cli/src/gateway-main.ts'],
  outfile: join(target, 'gateway-bundle.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  plugins: [leaveOutParts],
});
copyFileSync('scripts/gateway/loader.cjs', join(target, 'gateway.cjs'));
execFileSync(
  process.execPath,
  [
    ...NODE_FLAGS,
    'scripts/gateway/write-code-cache.cjs',
    'no-settings',
    target,
  ],
  {stdio: 'ignore'},
);
