/** Gateway processes before engine stand-ins, for tests of a whole fleet. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createRandom} from '@siskinplank/foundation';
import {
  CallKind,
  createCaller,
  encodeConfiguration,
  isReady,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {
  CallRecord,
  ResumedStream,
  StoreStandIn,
} from '@siskinplank/platform-stand-ins';
import {TYPESCRIPT_ARGUMENTS, WORKSPACE_ROOT} from '@siskinplank/proof';
import {getMonotonicMs} from '@siskinplank/stand-ins';
import {createSoakGateway} from '../gateways';
import type {SoakGateway} from '../gateways';
import {createHistory} from '../history';
import type {History} from '../history';
import {
  ADAPTER_SLOTS,
  MEMORY_MB,
  MODELS,
  MODEL_MB,
  createSoakUpstream,
} from '../upstreams';
import type {SoakUpstream, SoakUpstreamOptions} from '../upstreams';
import {wait} from './single-gateway';

export const HOST_NAME = 'fleet.example';
/** Client accounts in the configuration. */
export enum FleetAccount {
  Small = 'small',
  Other = 'other',
}

/** Key of the account `small` in the first configuration. */
export const FLEET_KEY = 'key-of-the-fleet';
const OTHER_KEY = 'key-of-another-account';
const READY_TIMEOUT_MS = 40_000;
const READY_POLL_MS = 50;
/** Longer than two heartbeats and the first loads of models. */
const SETTLE_MS = 1_500;
const DEADLINE_MS = 8_000;
const PROMPT_TOKENS = 300;
const OUTPUT_TOKENS = 72;

const SOURCE_PROGRAM = [
  ...TYPESCRIPT_ARGUMENTS,
  join(WORKSPACE_ROOT, 'packages/cli/src/gateway-main.ts'),
];

/** What `startGatewayFleet` needs. */
export interface GatewayFleetOptions {
  gatewayCount: number;
  engineCount: number;
  /** Plain upstreams; none by default. */
  deskCount?: number;
  /** Settings of each engine; those of the soak by default. */
  engines?: readonly SoakUpstreamOptions[];
  /** Arguments of node that start a gateway; its sources by default. */
  program?: readonly string[];
  /** Whether each gateway has a proxy of its links; false by default. */
  hasLinkProxies?: boolean;
  /** Time of a load from the weight store, as configured. */
  storeLoadMs?: number;
}

/** One stream to send. */
export interface StreamInput {
  attemptId: string;
  gateway: SoakGateway;
  model: string;
  promptParts: readonly string[];
  /** Key of the account; the one of the first configuration by default. */
  key?: string;
  /** Stream that the attempt resumes; none by default. */
  resumed?: ResumedStream;
  /** Time without bytes at which the caller gives a begun stream up. */
  maxSilenceMs?: number;
}

/** One request to a plain upstream. */
export interface PlainInput {
  attemptId: string;
  gateway: SoakGateway;
  kind: CallKind.Order | CallKind.Status;
  account: FleetAccount;
  pathEnd?: string;
  body?: string;
}

/** The running fleet. */
export interface GatewayFleet {
  gateways: readonly SoakGateway[];
  upstreams: readonly SoakUpstream[];
  history: History;
  models: readonly string[];
  store: StoreStandIn;
  getNowMs(): number;
  /** Writes a version of the configuration with these keys of the account. */
  putKeys(version: number, keys: readonly string[]): void;
  /** Starts gateways and waits until they are ready. */
  startGateways(started: readonly SoakGateway[]): Promise<void>;
  /** Adds an upstream that is ready. */
  addEngine(options?: SoakUpstreamOptions): Promise<SoakUpstream>;
  /** Sends a stream on a connection of its own. */
  sendStream(input: StreamInput): Promise<CallRecord>;
  /** Sends a plain request on a connection of its own. */
  sendPlain(input: PlainInput): Promise<CallRecord>;
  close(): Promise<void>;
}

/** Starts the fleet and waits until all gateways are ready. */
export async function startGatewayFleet(
  options: GatewayFleetOptions,
): Promise<GatewayFleet> {
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const random = createRandom(1);
  const history = createHistory(MEMORY_MB);
  const store = await startStoreStandIn(() => 0.5);
  const putKeys = (version: number, keys: readonly string[]): void =>
    store.putConfiguration(
      encodeConfiguration({
        version,
        hostName: HOST_NAME,
        accounts: [
          {name: FleetAccount.Small, keys},
          {name: FleetAccount.Other, keys: [OTHER_KEY]},
        ].map(account => ({...account, ratePerSecond: 1e6, burst: 1e6})),
        models: MODELS.map(name => ({
          name,
          weightsMb: MODEL_MB,
          adapterCount: 1,
        })),
        storeLoadMs: options.storeLoadMs,
        serverMemoryMb: MEMORY_MB,
        adapterSlots: ADAPTER_SLOTS,
        plainTimeoutMs: DEADLINE_MS,
      }),
    );
  putKeys(1, [FLEET_KEY]);
  const upstreams: SoakUpstream[] = [];
  const {engineCount, deskCount = 0} = options;
  const addUpstream = async (
    service: 'engines' | 'desk',
    settings?: SoakUpstreamOptions,
  ): Promise<SoakUpstream> => {
    const upstream = await createSoakUpstream(
      service,
      upstreams.length,
      store,
      history,
      random,
      getMonotonicMs,
      settings,
    );
    upstream.register();
    upstreams.push(upstream);
    return upstream;
  };
  for (let index = 0; index < engineCount + deskCount; index += 1) {
    await addUpstream(
      index < engineCount ? 'engines' : 'desk',
      options.engines?.[index],
    );
  }
  const {program = SOURCE_PROGRAM} = options;
  const gateways: SoakGateway[] = [];
  for (let index = 0; index < options.gatewayCount; index += 1) {
    gateways.push(
      await createSoakGateway(index, store.port, program, directory, {
        hasLinkProxy: options.hasLinkProxies,
      }),
    );
  }
  const startGateways = async (
    started: readonly SoakGateway[],
  ): Promise<void> => {
    for (const gateway of started) gateway.start();
    const endsAtMs = getMonotonicMs() + READY_TIMEOUT_MS;
    for (const gateway of started) {
      while (!(await isReady(gateway.readinessPort))) {
        if (getMonotonicMs() > endsAtMs) break;
        await wait(READY_POLL_MS);
      }
    }
  };
  await startGateways(gateways);
  await wait(SETTLE_MS);

  return {
    gateways,
    upstreams,
    history,
    models: MODELS,
    store,
    getNowMs: getMonotonicMs,
    putKeys,
    startGateways,
    addEngine: settings => addUpstream('engines', settings),
    sendStream: async ({gateway, key = FLEET_KEY, ...input}) => {
      const caller = createCaller({
        hostName: HOST_NAME,
        getNowMs: getMonotonicMs,
      });
      const record = await caller.call({
        ...input,
        kind: CallKind.Stream,
        account: FleetAccount.Small,
        key,
        promptTokens: PROMPT_TOKENS,
        outputTokens: OUTPUT_TOKENS,
        deadlineMs: DEADLINE_MS,
        gateway: gateway.name,
        port: gateway.port,
      });
      caller.close();
      return record;
    },
    sendPlain: async ({gateway, account, ...input}) => {
      const caller = createCaller({
        hostName: HOST_NAME,
        getNowMs: getMonotonicMs,
      });
      const record = await caller.call({
        ...input,
        account,
        key: account === FleetAccount.Small ? FLEET_KEY : OTHER_KEY,
        model: '',
        promptTokens: 0,
        outputTokens: 0,
        deadlineMs: DEADLINE_MS,
        gateway: gateway.name,
        port: gateway.port,
      });
      caller.close();
      return record;
    },
    close: async () => {
      for (const gateway of gateways) {
        gateway.send('SIGCONT');
        gateway.send('SIGKILL');
        await gateway.waitForExit();
        await gateway.storeProxy.close();
        await gateway.linkProxy?.close();
      }
      for (const {standIn, proxy} of upstreams) {
        await proxy.close();
        await standIn.close();
      }
      await store.close();
      rmSync(directory, {recursive: true, force: true});
    },
  };
}
