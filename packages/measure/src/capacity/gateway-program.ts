/** The bundled gateway, and the metrics of its processes. */
import {get} from 'node:http';
import {join} from 'node:path';
import {createSystemClock} from '@siskinplank/foundation';
import {isReady} from '@siskinplank/platform-stand-ins';
import {WORKSPACE_ROOT} from '@siskinplank/proof';
import type {SoakGateway} from '@siskinplank/soak';
import {build} from 'esbuild';

/** Arguments of node that start a gateway, without its settings. */
export const GATEWAY_PROGRAM = [
  join(WORKSPACE_ROOT, 'dist', 'capacity-gateway.cjs'),
];
/** Processor time of a process since its start, in seconds. */
export const PROCESSOR_METRIC = 'siskinplank_process_cpu_seconds_total';
const READY_TIMEOUT_MS = 60_000;
const READY_POLL_MS = 100;

const clock = createSystemClock();

/** Bundles the gateway, as the deployment does. */
export async function buildGatewayProgram(): Promise<void> {
  await build({
    entryPoints: [join(WORKSPACE_ROOT, 'packages/cli/src/gateway-main.ts')],
    outfile: GATEWAY_PROGRAM[0],
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    external: ['msgpackr-extract', 'bufferutil', 'utf-8-validate'],
  });
}

/** Fetches the metrics of a gateway, in the Prometheus text format. */
export function fetchMetrics({metricsPort}: SoakGateway): Promise<string> {
  return new Promise((resolve, reject) => {
    get({host: '127.0.0.1', port: metricsPort, path: '/metrics'}, response => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('end', () => resolve(text));
    }).on('error', reject);
  });
}

/** Reads the value of a metric; NaN if it is missing. */
export function readMetric(text: string, name: string): number {
  const line = text.split('\n').find(row => row.startsWith(`${name} `));
  return Number(line?.slice(name.length + 1) ?? NaN);
}

/** Waits until the gateways are ready, a minute at most. */
export async function waitUntilReady(
  gateways: readonly SoakGateway[],
): Promise<void> {
  const endsAtMs = clock.getNowMs() + READY_TIMEOUT_MS;
  for (const {readinessPort} of gateways) {
    while (!(await isReady(readinessPort)) && clock.getNowMs() < endsAtMs) {
      await clock.waitMs(READY_POLL_MS);
    }
  }
}
