/** Gateways as separate processes, each with a proxy to the store. */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {spawnManagedProcess} from '@siskinplank/proof';
import type {ManagedProcess} from '@siskinplank/proof';
import {
  createFaultProxy,
  getMonotonicMs,
  reservePort,
} from '@siskinplank/stand-ins';
import type {FaultProxy} from '@siskinplank/stand-ins';
import {stringify} from 'yaml';
import {
  BUDGET_RATIO,
  BUDGET_SLACK,
  BUDGET_WINDOW_MS,
  GRACE_MS,
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
  /** Proxy of the links that other gateways open; only if it was asked for. */
  readonly linkProxy: FaultProxy | undefined;
  start(): void;
  /** -1 unless it was started. */
  getPid(): number;
  send(signal: NodeJS.Signals): void;
  waitForExit(): Promise<void>;
  /** Sends SIGTERM, and SIGKILL at the end of the grace. */
  stop(): Promise<void>;
  /** Gives its next processes other addresses. */
  relocate(): Promise<void>;
  isRunning(): boolean;
  /** Log lines of all its processes so far. */
  readLog(): LogLine[];
  /** All its processes so far, also those that ended. */
  listProcesses(): readonly GatewayProcess[];
}

/** A process of a gateway, running or ended. */
export interface GatewayProcess {
  gateway: string;
  startedAtMs: number;
  /** Infinity while it runs. */
  endedAtMs: number;
  /** Signal that ended it; null if it ended by itself or runs. */
  endSignal: NodeJS.Signals | null;
  /** Exit status; null if a signal ended it or it runs. */
  endStatus?: number | null;
  listLines(): readonly string[];
}

/** A log line of a gateway. */
export type LogLine = Record<string, unknown>;

/** Settings that a test chooses. */
export interface SoakGatewayOptions {
  /** Processor time that the gateway counts on, in cores. */
  cpuShare?: number;
  /** Memory that the gateway counts on, in MB. */
  memoryMb?: number;
  /** By default one of three, by the index. */
  failureDomain?: string;
  /** Time until callers stop opening connections; 1.5 s by default. */
  noticeMs?: number;
  /** Whether other gateways connect through a proxy; false by default. */
  hasLinkProxy?: boolean;
}

const FAILURE_DOMAINS = ['a', 'b', 'c'];
export const FAILURE_DOMAIN_COUNT = FAILURE_DOMAINS.length;
const LEASE_MS = 3_000;
const MILLISECONDS_PER_SECOND = 1_000;
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
  getNowMs: () => number = getMonotonicMs,
): Promise<SoakGateway> {
  const name = `gateway-${index + 1}`;
  const storeProxy = await createFaultProxy({targetPort: storePort});
  let linkPort = await reservePort();
  const linkProxy =
    options.hasLinkProxy === true
      ? await createFaultProxy({targetPort: linkPort})
      : undefined;
  let port = 0;
  let readinessPort = 0;
  let metricsPort = 0;
  const file = join(directory, `${name}.yaml`);
  const address = (addressPort: number): string => `127.0.0.1:${addressPort}`;
  mkdirSync(directory, {recursive: true});
  const relocate = async (): Promise<void> => {
    port = await reservePort();
    readinessPort = await reservePort();
    metricsPort = await reservePort();
    if (linkProxy === undefined) linkPort = await reservePort();
    writeFileSync(
      file,
      stringify({
        role: 'gateway',
        process: {
          name,
          failureDomain:
            options.failureDomain ??
            FAILURE_DOMAINS[index % FAILURE_DOMAIN_COUNT],
          ...(options.cpuShare !== undefined && {cpuShare: options.cpuShare}),
          ...(options.memoryMb !== undefined && {memoryMb: options.memoryMb}),
        },
        caller: {address: address(port)},
        readiness: {address: address(readinessPort)},
        metrics: {address: address(metricsPort)},
        link: {
          address: address(linkPort),
          ...(linkProxy !== undefined && {advertise: address(linkProxy.port)}),
        },
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
        drain: {
          graceSeconds: GRACE_MS / MILLISECONDS_PER_SECOND,
          noticeMs: options.noticeMs ?? STOP_DETECTION_MS,
        },
      }),
    );
  };
  await relocate();
  const logFile = join(directory, `${name}.log`);
  let running: ManagedProcess | undefined;
  const processes: GatewayProcess[] = [];

  const recordProcess = (started: ManagedProcess): void => {
    const record: GatewayProcess = {
      gateway: name,
      startedAtMs: getNowMs(),
      endedAtMs: Infinity,
      endSignal: null,
      endStatus: null,
      listLines: () => started.listLines(),
    };
    processes.push(record);
    void started.waitForExit().then(({code, signal}) => {
      record.endedAtMs = getNowMs();
      record.endSignal = signal;
      record.endStatus = code;
    });
  };

  return {
    name,
    get port() {
      return port;
    },
    get readinessPort() {
      return readinessPort;
    },
    get metricsPort() {
      return metricsPort;
    },
    storeProxy,
    linkProxy,
    relocate,
    start: () => {
      running = spawnManagedProcess({
        name,
        command: process.execPath,
        args: [...program, file],
        logFile,
      });
      recordProcess(running);
    },
    getPid: () => running?.pid ?? -1,
    send: signal => running?.sendSignal(signal),
    waitForExit: async () => {
      await running?.waitForExit();
    },
    stop: async () => {
      const stopping = running;
      stopping?.sendSignal('SIGTERM');
      const killTimer = setTimeout(
        () => stopping?.sendSignal('SIGKILL'),
        GRACE_MS,
      );
      await stopping?.waitForExit();
      clearTimeout(killTimer);
    },
    isRunning: () => running?.isRunning() ?? false,
    readLog: () => readLogLines(logFile),
    listProcesses: () => processes,
  };
}
