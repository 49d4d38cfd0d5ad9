/**
 * Gateways of the users' platform as real processes, without requests: what the
 * exchange of states costs each of them, by the size of the fleet.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createSystemClock} from '@siskinplank/foundation';
import {
  encodeConfiguration,
  startStoreStandIn,
} from '@siskinplank/platform-stand-ins';
import type {StoreStandIn} from '@siskinplank/platform-stand-ins';
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

const SETTLE_MS = 5_000;
const SAMPLE_MS = 12_000;
const UPSTREAM_COUNT = 36;
const ACCOUNT_COUNT = 16;
/** Changes of registrations per second, over all upstreams. */
const CHANGES_PER_SECOND = 10;
const RECEIVED_METRIC =
  'siskinplank_gateway_link_messages{direction="received"}';

const clock = createSystemClock();

function putUpstream(store: StoreStandIn, index: number, change: number): void {
  store.putServer(`upstream-${index}`, {
    service: 'engines',
    // Nothing listens there: the order leader gets no reports.
    address: '127.0.0.1:1',
    zone: 'a',
    version: 'v1',
    slots: 64,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence: change,
    born: 1_700_000_000_000,
    models: [
      {name: 'model', version: 1, adapters: change % 2 === 0 ? [] : ['a1']},
    ],
  });
}

async function startStore(): Promise<StoreStandIn> {
  const store = await startStoreStandIn(() => 0.5);
  store.putConfiguration(
    encodeConfiguration({
      version: 1,
      hostName: 'capacity.example',
      accounts: Array.from({length: ACCOUNT_COUNT}, (_, index) => ({
        name: `account-${index}`,
        keys: [`key-${index}-of-the-capacity-run`],
        ratePerSecond: 2_000,
        burst: 4_000,
      })),
      models: [{name: 'model', weightsMb: 1_000, adapterCount: 4}],
      serverMemoryMb: 2_000,
      adapterSlots: 4,
      plainTimeoutMs: 1_500,
    }),
  );
  for (let index = 0; index < UPSTREAM_COUNT; index += 1) {
    putUpstream(store, index, 0);
  }
  return store;
}

/** Fraction of a core and received messages per second, for each gateway. */
interface GatewayUsage {
  processor: number;
  received: number;
}

async function measureUsage(
  gateways: readonly SoakGateway[],
): Promise<GatewayUsage[]> {
  const sample = async (): Promise<GatewayUsage[]> =>
    Promise.all(
      gateways.map(async gateway => {
        const text = await fetchMetrics(gateway);
        return {
          processor: readMetric(text, PROCESSOR_METRIC),
          received: readMetric(text, RECEIVED_METRIC),
        };
      }),
    );
  const before = await sample();
  const startedAtMs = clock.getNowMs();
  await clock.waitMs(SAMPLE_MS);
  const seconds = (clock.getNowMs() - startedAtMs) / 1_000;
  const after = await sample();
  return after.map(({processor, received}, index) => ({
    processor: (processor - before[index].processor) / seconds,
    received: (received - before[index].received) / seconds,
  }));
}

async function runFleet(count: number): Promise<GatewayUsage> {
  const store = await startStore();
  const directory = mkdtempSync(join(tmpdir(), 'siskinplank-'));
  const gateways: SoakGateway[] = [];
  for (let index = 0; index < count; index += 1) {
    gateways.push(
      await createSoakGateway(index, store.port, GATEWAY_PROGRAM, directory),
    );
  }
  let changes = 0;
  const timer = clock.startInterval(1_000 / CHANGES_PER_SECOND, () => {
    changes += 1;
    putUpstream(store, changes % UPSTREAM_COUNT, changes);
  });
  for (const gateway of gateways) gateway.start();
  await waitUntilReady(gateways);
  await clock.waitMs(SETTLE_MS);
  const usages = await measureUsage(gateways);
  timer.cancel();
  for (const gateway of gateways) gateway.send('SIGKILL');
  for (const gateway of gateways) await gateway.waitForExit();
  for (const {storeProxy} of gateways) await storeProxy.close();
  await store.close();
  rmSync(directory, {recursive: true, force: true});
  // The order leader works for all; the median is a gateway that is not it.
  const select = (read: (usage: GatewayUsage) => number): number =>
    usages.map(read).sort((left, right) => left - right)[
      Math.floor(usages.length / 2)
    ];
  return {
    processor: select(({processor}) => processor),
    received: select(({received}) => received),
  };
}

/** Measures fleets of these sizes, one after the other. */
export async function measureGatewayFleets(
  sink: FigureSink,
  sizes: readonly number[],
): Promise<void> {
  const rows: Array<GatewayUsage & {size: number}> = [];
  for (const size of sizes) rows.push({size, ...(await runFleet(size))});
  sink.addSeries(
    'gateway',
    'processor time of a gateway without requests',
    'gateways',
    rows.map(({size, processor}) => ({size, value: processor * 100})),
    '% of a core',
  );
  sink.addSeries(
    'gateway',
    'messages that a gateway receives over links',
    'gateways',
    rows.map(({size, received}) => ({size, value: received})),
    'messages/s',
  );
}
