/** Bundles the main files of the policies, so that processes start quickly. */
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {WORKSPACE_ROOT} from '@siskinplank/proof';
import {build} from 'esbuild';
import type {PolicyName} from './names';

/** Builds the main file of a policy and returns its path. */
export async function buildPolicyMain(policy: PolicyName): Promise<string> {
  const outfile = join(WORKSPACE_ROOT, `dist/measure/main-${policy}.cjs`);
  await build({
    entryPoints: [
      fileURLToPath(new URL(`./main-${policy}.ts`, import.meta.url)),
    ],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'warning',
    // Optional native accelerators; the libraries work without them.
    external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  });
  return outfile;
}
