/** Gateways as separate processes, each with a proxy to the store. */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {spawnManagedProcess} from '@siskinplank/proof';
import type {ManagedProcess} from '@siskinplank/proof';
import {createFaultProxy, reservePort} from '@siskinplank/stand-ins';
import type {FaultProxy} from '@siskinplank/stand-ins';
import {stringify} from 'yaml';
import {
  BUDGET_RATIO,
  BUDGET_SLACK,
  BUDGET_WINDOW_MS,
  QUOTA_SLACK,
  REVOKE_MS,
} from './checks/bounds';

/** A gateway process that can be started again after it ended. */
export interface SoakGateway {
  readonly name: string;
  readonly port: number;
  readonly readinessPort: number;
  readonly metricsPort: number;
  readonly storeProxy: FaultProxy;
  start(): void;
  /** -1 unless it was started. */
  getPid(): number;
  send(signal: NodeJS.Signals): void;
  waitForExit(): Promise<void>;
  isRunning(): boolean;
  /** Log lines of all its processes so far. */
  readLog(): LogLine[];
}

/** A log line of a gateway. */
export type LogLine = Record<string, unknown>;

/** Settings that a test chooses. */
export interface SoakGatewayOptions {
  /** Processor time that the gateway counts on, in cores. */
  cpuShare?: number;
  /** Memory that the gateway counts on, in MB. */
  memoryMb?: number;
}

const FAILURE_DOMAINS = ['a', 'b', 'c'];
const LEASE_MS = 3_000;
/** Time after SIGTERM until the platform would send SIGKILL (`grace_s`). */
const GRACE_SECONDS = 8;
/** Time until the callers' load balancer detects a stop. */
const STOP_DETECTION_MS = 1_500;

function readLogLines(file: string): LogLine[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('{') && line.endsWith('}'))
    .map(line => JSON.parse(line) as LogLine);
}

/**
 * Writes the settings of a gateway; `start` starts its process.
 *
 * @param program arguments of node that start a gateway, without its settings.
 */
export async function createSoakGateway(
  index: number,
  storePort: number,
  program: readonly string[],
  directory: string,
  options: SoakGatewayOptions = {},
): Promise<SoakGateway> {
  const name = `gateway-${index + 1}`;
  const storeProxy = await createFaultProxy({targetPort: storePort});
  const port = await reservePort();
  const readinessPort = await reservePort();
  const metricsPort = await reservePort();
  const file = join(directory, `${name}.yaml`);
  const address = (addressPort: number): string => `127.0.0.1:${addressPort}`;
  mkdirSync(directory, {recursive: true});
  writeFileSync(
    file,
    stringify({
      role: 'gateway',
      process: {
        name,
        failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
        ...(options.cpuShare !== undefined && {cpuShare: options.cpuShare}),
        ...(options.memoryMb !== undefined && {memoryMb: options.memoryMb}),
      },
      caller: {address: address(port)},
      readiness: {address: address(readinessPort)},
      metrics: {address: address(metricsPort)},
      link: {address: address(await reservePort())},
      store: {
        address: address(storeProxy.port),
        maxAgeMs: REVOKE_MS,
        readyAgeMs: 3_500,
      },
      limits: {slackTokens: QUOTA_SLACK},
      orders: {leaseMs: LEASE_MS},
      retries: {
        ratio: BUDGET_RATIO,
        slack: BUDGET_SLACK,
        windowSeconds: BUDGET_WINDOW_MS / 1_000,
      },
      drain: {graceSeconds: GRACE_SECONDS, noticeMs: STOP_DETECTION_MS},
    }),
  );
  const logFile = join(directory, `${name}.log`);
  let running: ManagedProcess | undefined;
  return {
    name,
    port,
    readinessPort,
    metricsPort,
    storeProxy,
    start: () => {
      running = spawnManagedProcess({
        name,
        command: process.execPath,
        args: [...program, file],
        logFile,
      });
    },
    getPid: () => running?.pid ?? -1,
    send: signal => running?.sendSignal(signal),
    waitForExit: async () => {
      await running?.waitForExit();
    },
    isRunning: () => running?.isRunning() ?? false,
    readLog: () => readLogLines(logFile),
  };
}
