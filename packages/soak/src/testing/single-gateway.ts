/** A gateway process before one plain upstream, for tests of late processes. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  CallKind,
  createCaller,
  encodeConfiguration,
  isReady,
  renderCallerRequest,
  startServerStandIn,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {
  CallRecord,
  Caller,
  RunRecord,
  ServerStandIn,
} from '@siskinplank/platform-stand-ins';
import {TYPESCRIPT_ARGUMENTS, WORKSPACE_ROOT} from '@siskinplank/proof';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {createSoakGateway} from '../gateways';
import type {SoakGateway, SoakGatewayOptions} from '../gateways';

const HOST_NAME = 'single.example';
const ACCOUNT = 'small';
const KEY = 'key-of-the-single-gateway';
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;
/** Longer than the housekeeping period, so that later pauses are seen. */
export const CALM_MS = 400;

/** What `startSingleGateway` needs. */
export interface SingleGatewayOptions extends SoakGatewayOptions {
  /** Time-out and target latency of the routes, in milliseconds. */
  timeoutMs: number;
  targetMs: number;
  /** Deadline of the requests, in milliseconds. */
  deadlineMs: number;
}

/** A request on a connection of its own. */
export interface SingleRequest {
  caller: Caller;
  sentAtMs: number;
  record: Promise<CallRecord>;
}

/** The running gateway. */
export interface SingleGateway {
  gateway: SoakGateway;
  upstream: ServerStandIn;
  /** Host and key of requests that a test sends by itself. */
  hostName: string;
  key: string;
  /** What the upstream ran. */
  runs: readonly RunRecord[];
  /** Attempts that reached the upstream, whether run or not, in order. */
  arrivals: readonly string[];
  /** Sends a request, its body `bodyDelayMs` after its head. */
  sendRequest(
    attemptId: string,
    kind: CallKind,
    bodyDelayMs?: number,
  ): SingleRequest;
  /** Encodes an order on a connection that is kept. */
  encodeOrder(attemptId: string): string;
  close(): Promise<void>;
}

/** Waits for `forMs` milliseconds. */
export function wait(forMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, forMs));
}

/** Starts the gateway and waits until it is ready. */
export async function startSingleGateway(
  options: SingleGatewayOptions,
): Promise<SingleGateway> {
  const runs: RunRecord[] = [];
  const arrivals: string[] = [];
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const store = await startStoreStandIn(() => 0.5);
  store.putConfiguration(
    encodeConfiguration({
      version: 1,
      hostName: HOST_NAME,
      accounts: [
        {name: ACCOUNT, keys: [KEY], ratePerSecond: 100_000, burst: 100_000},
      ],
      models: [],
      serverMemoryMb: 1,
      adapterSlots: 1,
      plainTimeoutMs: options.timeoutMs,
      plainTargetMs: options.targetMs,
    }),
  );
  const upstream = await startServerStandIn({
    service: 'desk',
    failureDomain: 'a',
    engine: undefined,
    slots: 32,
    random: () => 0.5,
    getNowMs: getMonotonicMs,
    onRun: run => runs.push(run),
    onOrder: () => undefined,
    onArrival: attemptId => arrivals.push(attemptId),
  });
  const address = `127.0.0.1:${upstream.port}`;
  store.putServer(upstream.getId(), upstream.describe(address, 'ready'));
  const program = [
    ...TYPESCRIPT_ARGUMENTS,
    join(WORKSPACE_ROOT, 'packages/cli/src/gateway-main.ts'),
  ];
  const gateway = await createSoakGateway(
    0,
    store.port,
    program,
    directory,
    options,
  );
  gateway.start();
  const endsAtMs = getMonotonicMs() + READY_TIMEOUT_MS;
  while (!(await isReady(gateway.readinessPort))) {
    if (getMonotonicMs() > endsAtMs) break;
    await wait(READY_POLL_MS);
  }
  await wait(CALM_MS);

  return {
    gateway,
    upstream,
    hostName: HOST_NAME,
    key: KEY,
    runs,
    arrivals,
    sendRequest: (attemptId, kind, bodyDelayMs) => {
      const caller = createCaller({
        hostName: HOST_NAME,
        getNowMs: getMonotonicMs,
      });
      const sentAtMs = getMonotonicMs();
      const record = caller.call({
        attemptId,
        kind,
        account: ACCOUNT,
        key: KEY,
        model: '',
        promptTokens: 0,
        outputTokens: 0,
        deadlineMs: options.deadlineMs,
        gateway: gateway.name,
        port: gateway.port,
        bodyDelayMs,
      });
      return {caller, sentAtMs, record};
    },
    encodeOrder: attemptId =>
      renderCallerRequest({
        path: `/${CallKind.Order}/x`,
        hostName: HOST_NAME,
        attemptId,
        key: KEY,
        deadlineMs: options.deadlineMs,
        model: undefined,
        keepsConnection: true,
      }),
    close: async () => {
      gateway.send('SIGCONT');
      gateway.send('SIGKILL');
      await gateway.waitForExit();
      await gateway.storeProxy.close();
      await upstream.close();
      await store.close();
      rmSync(directory, {recursive: true, force: true});
    },
  };
}
