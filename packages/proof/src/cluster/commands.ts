/** Commands that start the product and the stand-ins as processes. */
import {join} from 'node:path';
import {
  TYPESCRIPT_ARGUMENTS,
  WORKSPACE_ROOT,
  spawnManagedProcess,
} from './managed-process';
import type {ManagedProcess} from './managed-process';

const COMMAND_LINE = join(WORKSPACE_ROOT, 'packages/cli/src/main.ts');
const STAND_INS = join(WORKSPACE_ROOT, 'packages/stand-ins/src/main.ts');

/**
 * Starts the siskinplank binary, or its source when none is named. A
 * `mainFile` with the same command line takes the place of both, so that a
 * test can register other parts in the container.
 */
export function spawnProduct(
  name: string,
  args: readonly string[],
  logFile: string,
  mainFile?: string,
): ManagedProcess {
  const binary = process.env.SISKINPLANK_BINARY;
  if (binary !== undefined && binary !== '' && mainFile === undefined) {
    return spawnManagedProcess({name, command: binary, args, logFile});
  }
  return spawnManagedProcess({
    name,
    command: process.execPath,
    args: [...TYPESCRIPT_ARGUMENTS, mainFile ?? COMMAND_LINE, ...args],
    logFile,
  });
}

/** Starts a stand-in and waits until it listens. */
export async function spawnStandIn(
  name: string,
  kind: string,
  options: object,
  logFile: string,
): Promise<ManagedProcess> {
  const started = spawnManagedProcess({
    name,
    command: process.execPath,
    args: [
      ...TYPESCRIPT_ARGUMENTS,
      STAND_INS,
      kind,
      '--options',
      JSON.stringify(options),
    ],
    logFile,
  });
  await started.waitForLine(line => line.startsWith('{"ready":true'));
  return started;
}
