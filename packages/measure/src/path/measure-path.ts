/** Measures the two hops of the product against a bare proxy hop. */
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {createSystemClock} from '@siskinplank/foundation';
import {startCluster} from '@siskinplank/proof';
import type {Cluster} from '@siskinplank/proof';
import {ResourceKind} from '@siskinplank/resources';
import {Agent} from 'undici';
import {formatToday, readMachineSize} from '../report';
import type {MachineSize} from '../report';
import {issueKeys} from '../run-policy';
import {computeQuantile} from '../send-request';

/** Latencies of small requests in milliseconds. */
export interface PathLatency {
  p50Ms: number;
  p99Ms: number;
  failed: number;
}

/** Figures of the path benchmark. */
export interface PathReport {
  date: string;
  machine: MachineSize;
  requestsPerSecond: number;
  smallRequests: number;
  direct: PathLatency;
  bare: PathLatency;
  product: PathLatency;
  /** What both hops add at p99, in units of the bare hop's p99. */
  addedRatio: number;
  streams: number;
  bareTokensPerSecond: number;
  productTokensPerSecond: number;
  throughputRatio: number;
  /** Resident memory of the entry and a side process by requests so far. */
  memory: Array<{requests: number; entryMiB: number; sideMiB: number}>;
}

const ACCOUNT = 'path';
const MODEL = 'path-model';
const ENGINES = 4;
const REQUESTS_PER_SECOND = 50;
const SMALL_REQUESTS = 1_000;
const WARM_UP_REQUESTS = 300;
const STREAMS = 48;
const STREAM_TOKENS = 400;
const STREAM_ROUNDS = 3;
const MEMORY_REQUESTS = 10_000;
const MEMORY_STEP = 1_000;
const MEMORY_CONCURRENCY = 16;
const KIB_IN_MIB = 1_024;
const HTTP_OK = 200;
const SETTLE_MS = 3_000;
const UNLIMITED_TOKENS = 1e9;
const PLENTY_MEMORY_MIB = 1_000;
const ENGINE_TIME_SCALE = 0.01;
const clock = createSystemClock();
const agent = new Agent({connections: 256});

interface Target {
  url: string;
  key: string;
}

/** Sends a completion; returns the bytes of its answer, or -1. */
async function sendCompletion(
  {url, key}: Target,
  maxTokens: number,
  isStream: boolean,
  prompt: string,
): Promise<number> {
  const response = await agent.request({
    origin: url,
    path: '/v1/completions',
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: MODEL,
      prompt,
      max_tokens: maxTokens,
      stream: isStream,
    }),
  });
  let events = 0;
  for await (const part of response.body as AsyncIterable<Buffer>) {
    for (let at = part.indexOf('data: '); at >= 0;) {
      events += 1;
      at = part.indexOf('data: ', at + 1);
    }
  }
  return response.statusCode === HTTP_OK ? events : -1;
}

async function measureLatency(target: Target): Promise<PathLatency> {
  const times: number[] = [];
  let failed = 0;
  const sendOne = async (index: number): Promise<void> => {
    const startMs = clock.getNowMs();
    const result = await sendCompletion(target, 1, false, `small ${index}`);
    if (result < 0) failed += 1;
    if (index >= WARM_UP_REQUESTS) times.push(clock.getNowMs() - startMs);
  };
  const startMs = clock.getNowMs();
  const sending: Array<Promise<void>> = [];
  const count = SMALL_REQUESTS + WARM_UP_REQUESTS;
  for (let index = 0; index < count; index += 1) {
    const dueMs = startMs + (index * 1_000) / REQUESTS_PER_SECOND;
    await clock.waitMs(Math.max(0, dueMs - clock.getNowMs()));
    sending.push(sendOne(index));
  }
  await Promise.all(sending);
  return {
    p50Ms: computeQuantile(times, 0.5),
    p99Ms: computeQuantile(times, 0.99),
    failed,
  };
}

/** Tokens a second over all streams, the best of several rounds. */
async function measureThroughput(target: Target): Promise<number> {
  let best = 0;
  for (let round = 0; round < STREAM_ROUNDS; round += 1) {
    const startMs = clock.getNowMs();
    const counts = await Promise.all(
      Array.from({length: STREAMS}, (_, index) =>
        sendCompletion(target, STREAM_TOKENS, true, `stream ${index}`),
      ),
    );
    const tokens = counts.reduce((sum, count) => sum + Math.max(0, count), 0);
    const seconds = (clock.getNowMs() - startMs) / 1_000;
    best = Math.max(best, tokens / seconds);
  }
  return best;
}

function readResidentMiB(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / KIB_IN_MIB;
}

async function measureMemory(
  cluster: Cluster,
  target: Target,
): Promise<PathReport['memory']> {
  const read = (name: string): number =>
    readResidentMiB(cluster.getProcess(name).pid);
  const samples: PathReport['memory'] = [];
  for (let done = 0; done <= MEMORY_REQUESTS; done += MEMORY_STEP) {
    samples.push({
      requests: done,
      entryMiB: read(cluster.entries[0].name),
      sideMiB: read(cluster.sides[0].name),
    });
    if (done === MEMORY_REQUESTS) break;
    const sendSome = async (lane: number): Promise<void> => {
      for (let i = lane; i < MEMORY_STEP; i += MEMORY_CONCURRENCY) {
        await sendCompletion(target, 1, false, `memory ${i}`);
      }
    };
    await Promise.all(
      Array.from({length: MEMORY_CONCURRENCY}, (_, lane) => sendSome(lane)),
    );
  }
  return samples;
}

async function startBareHop(
  origins: readonly string[],
): Promise<{url: string; stop(): void}> {
  const file = fileURLToPath(new URL('./bare-hop.ts', import.meta.url));
  const child = spawn(process.execPath, ['--import', 'tsx', file, ...origins], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const stop = (): void => void child.kill('SIGTERM');
  process.once('exit', stop);
  const line = await new Promise<string>(resolve =>
    createInterface({input: child.stdout}).once('line', resolve),
  );
  const {port} = JSON.parse(line) as {port: number};
  return {url: `http://127.0.0.1:${port}`, stop};
}

function startPathCluster(): Promise<Cluster> {
  const catalog = {models: {[MODEL]: {memoryMiB: 100}}, adapters: {}};
  return startCluster({
    hasProxies: false,
    entries: 1,
    engines: Array.from({length: ENGINES}, () => ({
      failureDomain: 'domain-1',
      upstream: {maxConcurrency: 64},
      options: {
        catalog,
        totalMemoryMiB: PLENTY_MEMORY_MIB,
        preloadedModels: [{name: MODEL}],
        timeScale: ENGINE_TIME_SCALE,
        maxBatch: 64,
      },
    })),
    objects: [
      {
        kind: ResourceKind.Model,
        name: MODEL,
        value: {name: MODEL, version: '1', memoryMiB: 100},
      },
      {
        kind: ResourceKind.ClientAccount,
        name: ACCOUNT,
        value: {
          name: ACCOUNT,
          rateTokensPerSecond: UNLIMITED_TOKENS,
          burstTokens: UNLIMITED_TOKENS,
        },
      },
    ],
  });
}

/** Runs the path benchmark. */
export async function measurePath(): Promise<PathReport> {
  const machine = readMachineSize();
  const cluster = await startPathCluster();
  const origins = cluster
    .listUpstreams()
    .map(({address}) => `http://${address.host}:${address.port}`);
  const bareHop = await startBareHop(origins);
  try {
    const {[ACCOUNT]: key} = await issueKeys(cluster, [ACCOUNT]);
    await clock.waitMs(SETTLE_MS);
    const product: Target = {url: cluster.entries[0].callerUrl, key};
    const bare: Target = {url: bareHop.url, key: 'none'};
    const direct = await measureLatency({url: origins[0], key: 'none'});
    const bareLatency = await measureLatency(bare);
    const productLatency = await measureLatency(product);
    const bareTokensPerSecond = await measureThroughput(bare);
    const productTokensPerSecond = await measureThroughput(product);
    return {
      date: formatToday(),
      machine,
      requestsPerSecond: REQUESTS_PER_SECOND,
      smallRequests: SMALL_REQUESTS,
      direct,
      bare: bareLatency,
      product: productLatency,
      addedRatio: (productLatency.p99Ms - direct.p99Ms) / bareLatency.p99Ms,
      streams: STREAMS,
      bareTokensPerSecond,
      productTokensPerSecond,
      throughputRatio: productTokensPerSecond / bareTokensPerSecond,
      memory: await measureMemory(cluster, product),
    };
  } finally {
    bareHop.stop();
    await cluster.stop();
  }
}
