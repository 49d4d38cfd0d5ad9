import {createManualClock} from '@siskinplank/foundation';
import type {ManualClock} from '@siskinplank/foundation';
import {OrderOperation, UpstreamState} from '@siskinplank/serving';
import type {UpstreamReport} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {createAdapterLoader} from './adapter-loader';
import type {AdapterLoader} from './adapter-loader';
import {REPORT_LAG_MS, createUpstreamInventory} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

const MODEL = 'm';
const ADAPTER_SLOTS = 2;
const OPEN_REPORT_DELAY_MS = 300;

interface Harness {
  clock: ManualClock;
  inventory: UpstreamInventory;
  loader: AdapterLoader;
  /** Adapters with open requests, as reported by the gateways. */
  inUse: Set<string>;
  /** Orders in the form `load a1`. */
  orders: string[];
  /** Holds back the replies to orders from now on, until resumed. */
  pauseReplies(): void;
  resumeReplies(): void;
  /** Lets the orders from now on end without an answer, or with one. */
  setAnswering(isAnswering: boolean): void;
  load(adapter: string): Promise<number | undefined>;
}

/** @param adapters adapters that the upstream holds. */
function createHarness(adapters: readonly string[] = []): Harness {
  const clock = createManualClock();
  const inventory = createUpstreamInventory(
    {
      id: 'u1',
      service: 'llm',
      address: {host: '10.0.0.1', port: 80},
      failureDomain: 'fd-a',
      softwareVersion: '1',
      slots: 8,
      state: UpstreamState.Ready,
      startedAtMs: 1,
      models: [{name: MODEL, version: 1, adapters: [...adapters]}],
      orderSequence: 0,
      remainingMs: undefined,
    },
    clock.getNowMs(),
  );
  inventory.isConfirmed = true;
  const inUse = new Set<string>();
  const orders: string[] = [];
  let arePaused = false;
  const held: Array<() => void> = [];
  let isAnswered = true;
  const loader = createAdapterLoader({
    sender: {
      send: (_inventory, {operation, adapter}) => {
        const verb = operation === OrderOperation.Load ? 'load' : 'unload';
        orders.push(`${verb} ${adapter}`);
        return arePaused
          ? new Promise(() => undefined)
          : Promise.resolve(isAnswered);
      },
      refresh: () => Promise.resolve(undefined),
    },
    clock,
    getAdapterSlots: () => ADAPTER_SLOTS,
    getOpenReportDelayMs: () => OPEN_REPORT_DELAY_MS,
    isInUse: (_inventory, key) => inUse.has(key),
    onChange: () => undefined,
  });
  return {
    clock,
    inventory,
    loader,
    inUse,
    orders,
    pauseReplies: () => {
      arePaused = true;
    },
    resumeReplies: () => {
      arePaused = false;
      for (const reply of held.splice(0)) reply();
    },
    setAnswering: isAnswering => {
      isAnswered = isAnswering;
    },
    load: adapter => loader.load(inventory, MODEL, adapter),
  };
}

describe('adapter loader', () => {
  it('evicts the adapter that was used least recently', async () => {
    const {clock, inventory, orders, load} = createHarness(['a1', 'a2']);
    clock.runFor(1_000);
    const used = inventory.adapters.get(`${MODEL}/a1`);
    if (used !== undefined) used.lastUsedAtMs = clock.getNowMs();
    expect(await load('a3')).toBeGreaterThan(0);
    expect(orders).toEqual(['unload a2', 'load a3']);
  });

  // Requests got 421 or 503 since their adapter was evicted on their way.
  it('keeps an adapter until the request that it was loaded for is reported', async () => {
    const {clock, inUse, orders, load} = createHarness();
    await load('a1');
    await load('a2');
    clock.runFor(OPEN_REPORT_DELAY_MS);
    expect(await load('a3')).toBeUndefined();
    inUse.add(`${MODEL}/a1`);
    clock.runFor(100);
    expect(await load('a3')).toBeGreaterThan(0);
    expect(orders).toEqual(['load a1', 'load a2', 'unload a2', 'load a3']);
  });

  // The adapter was present, so that no order showed that it was chosen.
  it('keeps a present adapter for a request that asked for it', async () => {
    const {clock, orders, load} = createHarness(['a1', 'a2']);
    clock.runFor(1_000);
    expect(await load('a1')).toBe(0);
    expect(await load('a3')).toBeGreaterThan(0);
    expect(orders).toEqual(['unload a2', 'load a3']);
    expect(await load('a4')).toBeUndefined();
  });

  // Guards against requests that wait for an order to a silent upstream in vain.
  it('refuses a load at once if the loads before it need all slots', async () => {
    const {load, orders, pauseReplies} = createHarness(['a1']);
    pauseReplies();
    void load('a2');
    void load('a3');
    expect(await load('a1')).toBe(0);
    expect(await load('a4')).toBeUndefined();
    expect(orders).toEqual(['load a2']);
  });

  // The slot stayed taken, and requests for the adapter were refused, for as long
  // as the upstream held the model.
  it('finds an adapter that was loaded by an order without an answer', async () => {
    const {clock, inventory, load, setAnswering} = createHarness();
    setAnswering(false);
    expect(await load('a1')).toBeUndefined();
    setAnswering(true);
    clock.runFor(2 * REPORT_LAG_MS);
    const report: UpstreamReport = {
      models: [{name: MODEL, version: 1, adapters: ['a1']}],
      isChangingModel: false,
      orderSequence: 1,
      queuedCount: 0,
      runningCount: 0,
      usedCacheTokens: 0,
      totalCacheTokens: 10_000,
      pendingAdapters: [],
      modelsInMemory: [],
      modelsOnDisk: [],
    };
    inventory.applyReport(report, clock.getNowMs());
    expect(await load('a1')).toBe(0);
  });

  // Adapters were evicted for requests that had gone elsewhere meanwhile.
  it('gives up a load whose turn comes after its request stopped waiting', async () => {
    const {clock, load, orders, pauseReplies, resumeReplies} = createHarness();
    pauseReplies();
    const first = load('a1');
    const second = load('a2');
    await Promise.resolve();
    clock.runFor(500);
    resumeReplies();
    expect(await first).toBeGreaterThan(0);
    expect(await second).toBeUndefined();
    expect(orders).toEqual(['load a1']);
  });

  // Guards against adapters that are never evicted since their requests failed.
  it('evicts an adapter whose request never came', async () => {
    const {clock, orders, load} = createHarness();
    await load('a1');
    await load('a2');
    clock.runFor(OPEN_REPORT_DELAY_MS + 100);
    expect(await load('a3')).toBeGreaterThan(0);
    expect(orders).toEqual(['load a1', 'load a2', 'unload a1', 'load a3']);
  });
});
