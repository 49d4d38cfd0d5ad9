/** Runs one trace under one policy against a whole system of processes. */
import {createRandom, makeSecureId} from '@siskinplank/foundation';
import {startCluster} from '@siskinplank/proof';
import type {Cluster, SeedObject} from '@siskinplank/proof';
import {
  ResourceKind,
  RouteAccess,
  UpstreamType,
  formatKey,
  hashSecret,
} from '@siskinplank/resources';
import {PlatformOutage, getMonotonicMs} from '@siskinplank/stand-ins';
import {
  ADAPTER_MEMORY_MIB,
  BATCH_SIZE,
  BATCH_SLOPE,
  COMPRESSION,
  ENGINE_MEMORY_MIB,
  ENGINE_TOKENS_PER_SECOND,
  MODEL_LOAD_MS,
  MODEL_MEMORY_MIB,
  TOKEN_MS,
  formatAdapter,
  formatModel,
  resolveAdapterModel,
} from './deployments';
import type {Deployment} from './deployments';
import {replayTrace} from './replay-trace';
import type {LoadResult, TimedAction} from './replay-trace';
import {buildPolicyMain} from './policies/bundle';
import type {PolicyName} from './policies/names';
import type {Trace} from './trace';

/** Faults that a run can include. */
export enum MeasuredFault {
  UpstreamKilled = 'upstream-killed',
  PlatformDown = 'platform-down',
}

/** Result of one run. */
export interface PolicyRun extends LoadResult {
  /** Model loads that engines began after the warm-up. */
  modelLoads: number;
  /** Start on the machine's monotonic clock. */
  startMs: number;
  /** Model loads during the warm-up. */
  warmUpLoads: number;
  faultAtMs: number | undefined;
}

/**
 * Time constants of demand: 180 s and 900 s, compressed by 180 like the swings
 * of the trace, which take 20 s in place of an hour.
 */
const DEMAND_FAST_MS = 1_000;
const DEMAND_SLOW_MS = 5_000;
const PLACEMENT_PERIOD_MS = 1_000;
/** Share of a full batch's rate that placement plans with. */
const PLANNED_FILL = 0.7;
const READY_TIMEOUT_MS = 90_000;
const SETTLE_MS = 3_000;
const KEY_ID_BYTES = 8;
const SECRET_BYTES = 32;
const PLATFORM_LATENCY_MS = 2;
const ENGINE_STATUS_LAG_MS = 100;
const FAULT_AT_SHARE = 0.3;
const OUTAGE_SHARE = 0.4;

function listModels(deployment: Deployment): Array<{
  name: string;
  memoryMiB: number;
}> {
  const random = createRandom(deployment.models);
  return Array.from({length: deployment.models}, (_, index) => ({
    name: formatModel(index),
    memoryMiB: MODEL_MEMORY_MIB[random.getInteger(MODEL_MEMORY_MIB.length)],
  }));
}

function listAdapters(deployment: Deployment): Array<{
  name: string;
  model: string;
  memoryMiB: number;
}> {
  return Array.from({length: deployment.adapters}, (_, index) => ({
    name: formatAdapter(index),
    model: resolveAdapterModel(deployment, index),
    memoryMiB: ADAPTER_MEMORY_MIB,
  }));
}

function buildObjects(deployment: Deployment, trace: Trace): SeedObject[] {
  const models = listModels(deployment).map(value => ({
    kind: ResourceKind.Model,
    name: value.name,
    value: {...value, version: '1', upstreams: [], minReplicas: 0},
  }));
  const adapters = listAdapters(deployment).map(value => ({
    kind: ResourceKind.Adapter,
    name: value.name,
    value: {...value, version: '1'},
  }));
  const accounts = Object.entries(trace.limits).map(([name, limit]) => ({
    kind: ResourceKind.ClientAccount,
    name,
    value: {name, ...limit, displayName: name, weight: 1, models: ['*']},
  }));
  const route = {
    kind: ResourceKind.Route,
    name: 'stock',
    value: {
      name: 'stock',
      methods: ['GET'],
      path: '/stock/:item',
      access: RouteAccess.Keyed,
      idempotent: true,
      upstreams: listServices(deployment),
      costTokens: 1,
    },
  };
  return [...models, ...adapters, ...accounts, route];
}

function listServices(deployment: Deployment): string[] {
  return Array.from(
    {length: deployment.services},
    (_, index) => `service-${index + 1}`,
  );
}

function chooseDomain(deployment: Deployment, index: number): string {
  return `domain-${(index % deployment.failureDomains) + 1}`;
}

async function startSystem(
  deployment: Deployment,
  trace: Trace,
  policy: PolicyName,
): Promise<Cluster> {
  const models = listModels(deployment);
  const adapters = listAdapters(deployment);
  const [fastestMs, slowestMs] = deployment.adapterLoadMs;
  return startCluster({
    productMain: await buildPolicyMain(policy),
    hasProxies: false,
    readyTimeoutMs: READY_TIMEOUT_MS,
    platform: {latencyMs: PLATFORM_LATENCY_MS},
    weightStore: {
      loadsPerSecond: deployment.loadsPerSecond,
      maxConcurrentLoads: deployment.concurrentLoads,
      loadMs: MODEL_LOAD_MS,
      timeScale: COMPRESSION,
    },
    entries: Array.from({length: deployment.entries}, (_, index) => ({
      failureDomain: chooseDomain(deployment, index),
    })),
    engines: Array.from({length: deployment.engines}, (_, index) => ({
      failureDomain: chooseDomain(deployment, index),
      upstream: {maxConcurrency: BATCH_SIZE},
      options: {
        totalMemoryMiB: ENGINE_MEMORY_MIB,
        catalog: {
          models: Object.fromEntries(
            models.map(({name, memoryMiB}) => [name, {memoryMiB}]),
          ),
          adapters: Object.fromEntries(
            adapters.map(({name, ...rest}) => [name, rest]),
          ),
        },
        timeScale: COMPRESSION,
        tokenMs: TOKEN_MS,
        batchSlope: BATCH_SLOPE,
        maxBatch: BATCH_SIZE,
        statusLagMs: ENGINE_STATUS_LAG_MS,
        adapterLoadMs:
          fastestMs +
          ((slowestMs - fastestMs) * index) /
            Math.max(1, deployment.engines - 1),
        adapterLoadsInFlight: deployment.adapterLoadsInFlight,
      },
    })),
    services: listServices(deployment).map((name, index) => ({
      name,
      failureDomain: chooseDomain(deployment, index),
      options: deployment.serviceOptions,
    })),
    objects: buildObjects(deployment, trace),
    entrySettings: {
      placement: {
        demandFastMs: DEMAND_FAST_MS,
        demandSlowMs: DEMAND_SLOW_MS,
        periodMs: PLACEMENT_PERIOD_MS,
        loadsPerSecond: deployment.loadsPerSecond / COMPRESSION,
        tokensPerAccelerator: Math.round(
          ENGINE_TOKENS_PER_SECOND * PLANNED_FILL,
        ),
      },
    },
  });
}

/** Writes a key of each account; returns the keys by account. */
export async function issueKeys(
  cluster: Cluster,
  accounts: readonly string[],
): Promise<Record<string, string>> {
  const hashKey = Buffer.from(cluster.secrets.keyHashSecret);
  const keys: Record<string, string> = {};
  for (const account of accounts) {
    const name = makeSecureId(KEY_ID_BYTES);
    const secret = makeSecureId(SECRET_BYTES);
    const secretHash = hashSecret(hashKey, secret);
    const value = {name, account, secretHash, createdAtMs: 0};
    await cluster.putObject({kind: ResourceKind.ApiKey, name, value});
    keys[account] = formatKey(name, secret);
  }
  return keys;
}

function planFault(
  cluster: Cluster,
  trace: Trace,
  fault: MeasuredFault | undefined,
): TimedAction[] {
  const atMs = trace.warmUpMs + trace.durationMs * FAULT_AT_SHARE;
  switch (fault) {
    case undefined:
      return [];
    case MeasuredFault.UpstreamKilled:
      return [
        {
          atMs,
          run: async () => {
            const [engine] = listEngines(cluster);
            const names = [engine, `side-${engine}`];
            await Promise.all(names.map(cluster.kill));
          },
        },
      ];
    case MeasuredFault.PlatformDown:
      return [
        {
          atMs,
          run: () => cluster.platform.sendFault({down: PlatformOutage.Reset}),
        },
        {
          atMs: atMs + trace.durationMs * OUTAGE_SHARE,
          run: () => cluster.platform.sendFault({down: null}),
        },
      ];
  }
}

/** Names of the engine stand-ins; sides are listed in the order of start. */
export function listEngines(cluster: Cluster): string[] {
  return cluster
    .listUpstreams()
    .filter(({type}) => type === UpstreamType.Engine)
    .map(({name}) => name)
    .sort();
}

async function countLoads(cluster: Cluster): Promise<number[]> {
  const logs = await Promise.all(
    listEngines(cluster).map(async engine => {
      if (!cluster.getProcess(engine).isRunning()) return [];
      const orders = await cluster.getStandIn(engine).listLog('order-started');
      return orders.filter(order => order.orderType === 'load-model');
    }),
  );
  return logs.flat().map(({atMs}) => atMs);
}

/**
 * Starts the system, replays the trace, and stops the system. `inspect` may
 * read the logs of the stand-ins before they end.
 */
export async function runPolicy(
  deployment: Deployment,
  trace: Trace,
  policy: PolicyName,
  fault: MeasuredFault | undefined,
  inspect: (cluster: Cluster) => Promise<void> = () => Promise.resolve(),
): Promise<PolicyRun> {
  const cluster = await startSystem(deployment, trace, policy);
  try {
    const keys = await issueKeys(cluster, Object.keys(trace.limits));
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const startMs = getMonotonicMs();
    const actions = planFault(cluster, trace, fault);
    const urls = cluster.entries.map(({callerUrl}) => callerUrl);
    const result = await replayTrace(trace, urls, keys, actions);
    const loads = await countLoads(cluster);
    await inspect(cluster);
    const measuredFromMs = startMs + trace.warmUpMs;
    return {
      ...result,
      modelLoads: loads.filter(atMs => atMs >= measuredFromMs).length,
      warmUpLoads: loads.filter(atMs => atMs < measuredFromMs).length,
      startMs,
      faultAtMs: actions[0]?.atMs,
    };
  } finally {
    await cluster.stop();
  }
}
