/**
 * One gateway of the users' platform as a real process under streams: what a
 * stream costs it, by their rate.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createRandom, createSystemClock} from '@siskinplank/foundation';
import {
  CallKind,
  createCaller,
  encodeConfiguration,
  startServerStandIn,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {
  ServerStandIn,
  StoreStandIn,
} from '@siskinplank/platform-stand-ins';
import {createSoakGateway} from '@siskinplank/soak';
import type {SoakGateway} from '@siskinplank/soak';
import {
  GATEWAY_PROGRAM,
  PROCESSOR_METRIC,
  fetchMetrics,
  readMetric,
  waitUntilReady,
} from './gateway-program';
import type {FigureSink} from './types';

const SETTLE_MS = 2_500;
const SAMPLE_MS = 10_000;
const ENGINE_COUNT = 8;
const ENGINE_SLOTS = 64;
const MODEL_MB = 1_000;
const MODELS = ['m0', 'm1'];
const HOST_NAME = 'capacity.example';
const ACCOUNT = 'account';
const KEY = 'key-of-the-capacity-run';
const DEADLINE_MS = 8_000;

const clock = createSystemClock();
const random = createRandom(1);

async function startEngine(store: StoreStandIn): Promise<ServerStandIn> {
  const engine = await startServerStandIn({
    service: 'engines',
    failureDomain: 'a',
    engine: {
      memoryMb: MODEL_MB * MODELS.length,
      modelSizesMb: new Map(MODELS.map(name => [name, MODEL_MB])),
      initialModels: MODELS,
      loadMs: 100,
    },
    slots: ENGINE_SLOTS,
    random: random.getNext,
    getNowMs: () => clock.getNowMs(),
    onRun: () => undefined,
    onOrder: () => undefined,
    onArrival: () => undefined,
  });
  const address = `127.0.0.1:${engine.port}`;
  store.putServer(engine.getId(), engine.describe(address, 'ready'));
  return engine;
}

function putConfiguration(store: StoreStandIn): void {
  store.putConfiguration(
    encodeConfiguration({
      version: 1,
      hostName: HOST_NAME,
      accounts: [{name: ACCOUNT, keys: [KEY], ratePerSecond: 1e7, burst: 1e7}],
      models: MODELS.map(name => ({
        name,
        weightsMb: MODEL_MB,
        adapterCount: 0,
      })),
      serverMemoryMb: MODEL_MB * MODELS.length,
      adapterSlots: 1,
      plainTimeoutMs: 1_500,
    }),
  );
}

/** Sends a stream on a connection of its own. */
async function sendStream(gateway: SoakGateway, index: number): Promise<void> {
  const caller = createCaller({
    hostName: HOST_NAME,
    getNowMs: () => clock.getNowMs(),
  });
  await caller.call({
    attemptId: `stream-${index}`,
    kind: CallKind.Stream,
    account: ACCOUNT,
    key: KEY,
    model: MODELS[index % MODELS.length],
    promptTokens: 500,
    outputTokens: 72,
    deadlineMs: DEADLINE_MS,
    gateway: gateway.name,
    port: gateway.port,
  });
  caller.close();
}

/** Processor time of the gateway at this rate, as a fraction of a core. */
async function runRate(
  gateway: SoakGateway,
  perSecond: number,
): Promise<number> {
  const readSeconds = async (): Promise<number> =>
    readMetric(await fetchMetrics(gateway), PROCESSOR_METRIC);
  const before = await readSeconds();
  const startedAtMs = clock.getNowMs();
  const streams: Array<Promise<void>> = [];
  const count = (SAMPLE_MS / 1_000) * perSecond;
  for (let index = 0; index < count; index += 1) {
    const dueAtMs = startedAtMs + (index * 1_000) / perSecond;
    await clock.waitMs(Math.max(0, dueAtMs - clock.getNowMs()));
    streams.push(sendStream(gateway, index));
  }
  await Promise.all(streams);
  const seconds = (clock.getNowMs() - startedAtMs) / 1_000;
  return ((await readSeconds()) - before) / seconds;
}

/** Measures one gateway at these rates of streams, one after the other. */
export async function measureGatewayRequests(
  sink: FigureSink,
  ratesPerSecond: readonly number[],
): Promise<void> {
  const store = await startStoreStandIn(random.getNext);
  putConfiguration(store);
  const engines: ServerStandIn[] = [];
  for (let index = 0; index < ENGINE_COUNT; index += 1) {
    engines.push(await startEngine(store));
  }
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const gateway = await createSoakGateway(
    0,
    store.port,
    GATEWAY_PROGRAM,
    directory,
  );
  gateway.start();
  await waitUntilReady([gateway]);
  await clock.waitMs(SETTLE_MS);
  const points: Array<{size: number; value: number}> = [];
  for (const perSecond of ratesPerSecond) {
    const fraction = await runRate(gateway, perSecond);
    points.push({size: perSecond, value: fraction * 100});
  }
  sink.addSeries(
    'gateway',
    'processor time of a gateway under streams of 24 events',
    'streams/s',
    points,
    '% of a core',
  );
  gateway.send('SIGKILL');
  await gateway.waitForExit();
  await gateway.storeProxy.close();
  for (const engine of engines) await engine.close();
  await store.close();
  rmSync(directory, {recursive: true, force: true});
}
