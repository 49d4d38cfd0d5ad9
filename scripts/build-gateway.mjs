/** Builds the gateway as one file for the users' platform: `target/gateway.cjs`. */
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';

mkdirSync('target', {recursive: true});
await build({
  entryPoints: ['packages/cli/src/gateway-main.ts'],
  outfile: 'target/gateway.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  logLevel: 'warning',
  external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
});
