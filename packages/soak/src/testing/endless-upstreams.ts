/** Processes with upstreams that answer, or that send bytes without end. */
import {join} from 'node:path';
import type {EndlessFault} from '@siskinplank/platform-stand-ins';
import {
  TYPESCRIPT_ARGUMENTS,
  WORKSPACE_ROOT,
  spawnManagedProcess,
} from '@siskinplank/proof';
import type {ManagedProcess} from '@siskinplank/proof';

/** One upstream; without models it is a plain service. */
export interface UpstreamSpec {
  id: string;
  models: readonly string[];
  /** Undefined for an upstream that answers. */
  fault: EndlessFault | undefined;
}

/** A running process and the ports of its upstreams, in their order. */
export interface UpstreamProcess {
  ports: readonly number[];
  process: ManagedProcess;
}

/** Start of the line with the ports. */
export const PORTS_PREFIX = 'ports ';

/** Starts one process with all of the upstreams. */
export async function spawnUpstreams(
  specs: readonly UpstreamSpec[],
  logFile: string,
): Promise<UpstreamProcess> {
  const program = 'packages/soak/src/testing/endless-upstreams-main.ts';
  const started = spawnManagedProcess({
    name: specs.map(({id}) => id).join(' '),
    command: process.execPath,
    args: [
      ...TYPESCRIPT_ARGUMENTS,
      join(WORKSPACE_ROOT, program),
      JSON.stringify(specs),
    ],
    logFile,
  });
  const line = await started.waitForLine(text => text.startsWith(PORTS_PREFIX));
  const ports = JSON.parse(line.slice(PORTS_PREFIX.length)) as number[];
  return {ports, process: started};
}
