import {UpstreamState} from '@siskinplank/serving';
import type {EngineSpec, Upstream, UpstreamReport} from '@siskinplank/serving';
import {describe, expect, it} from 'vitest';
import {createLoadBudget} from './load-budget';
import {REPORT_LAG_MS, createUpstreamInventory} from './upstream-inventory';

const ENGINE: EngineSpec = {
  slots: 8,
  cacheTokens: 1_000,
  weightsMb: 100,
  adapterSlots: 0,
  loadsPerSecond: 2.1,
  models: new Map([
    [
      'a',
      {
        name: 'a',
        weightsMb: 40,
        storeLoadMs: 1_200,
        diskLoadMs: 700,
        memoryLoadMs: 500,
        adapterCount: 0,
        adapterMb: 0,
      },
    ],
  ]),
};
const WINDOW_MS = 5_000;
/** Loads that may begin in a window: the rate plus 10 %, and a burst of 3. */
const MAX_LOADS_IN_WINDOW = 2.1 * 5 * 1.1 + 3;

const UPSTREAM: Upstream = {
  id: 'u',
  service: 'llm',
  address: {host: '10.0.0.1', port: 80},
  failureDomain: 'a',
  softwareVersion: '',
  slots: 8,
  state: UpstreamState.Ready,
  startedAtMs: 1,
  models: [],
  orderSequence: 0,
  remainingMs: undefined,
};

function makeReport(copies: string[]): UpstreamReport {
  return {
    models: [],
    isChangingModel: false,
    orderSequence: 0,
    queuedCount: 0,
    runningCount: 0,
    usedCacheTokens: 0,
    totalCacheTokens: 0,
    pendingAdapters: [],
    modelsInMemory: copies,
    modelsOnDisk: copies,
  };
}

describe('loads from the weight store', () => {
  // Loads planned at different times can begin together when the unloads before
  // them end together; the rate limit must hold for the time they begin.
  it('stay within the rate limit when they begin later than planned', () => {
    const budget = createLoadBudget();
    const begun: number[] = [];
    const planned: Array<(beginsAtMs: number) => void> = [];
    for (let nowMs = 0; nowMs <= 20_000; nowMs += 50) {
      for (let left = budget.countLeft(ENGINE, nowMs); left > 0; left -= 1) {
        const reservation = budget.reserve(100);
        planned.push(beginsAtMs => {
          reservation.begin(beginsAtMs);
          begun.push(beginsAtMs);
        });
      }
      // For four seconds no upstream is free; then all are.
      const isFree = nowMs % 5_000 >= 4_000;
      if (isFree) for (const begin of planned.splice(0)) begin(nowMs);
    }
    for (const endMs of begun) {
      const inWindow = begun.filter(
        atMs => atMs > endMs - WINDOW_MS && atMs <= endMs,
      );
      expect(inWindow.length).toBeLessThanOrEqual(MAX_LOADS_IN_WINDOW);
    }
    expect(begun.length).toBeGreaterThan(10);
  });

  it('return to the budget when they are cancelled', () => {
    const budget = createLoadBudget();
    budget.countLeft(ENGINE, 0);
    expect(budget.countLeft(ENGINE, 1_000)).toBe(3);
    const reservation = budget.reserve(1_200);
    expect(budget.countLeft(ENGINE, 1_000)).toBe(2);
    reservation.cancel();
    expect(budget.countLeft(ENGINE, 1_000)).toBe(3);
  });

  // Guards against streams that wait for loads of other models to end.
  it('may be one more at once for streams, within the rate', () => {
    const budget = createLoadBudget();
    budget.countLeft(ENGINE, 0);
    for (let count = 0; count < 3; count += 1) {
      budget.reserve(5_000).begin(1_000);
    }
    expect(budget.countLeftForStreams(ENGINE, 1_000)).toBe(0);
    expect(budget.countLeft(ENGINE, 3_000)).toBe(0);
    expect(budget.countLeftForStreams(ENGINE, 3_000)).toBe(1);
    budget.reserve(5_000).begin(3_000);
    expect(budget.countLeftForStreams(ENGINE, 3_000)).toBe(0);
  });

  // The disk of an upstream holds few copies of weights, so a load may displace
  // any other copy. Until a newer report, other models need a store load.
  it('are assumed for copies that a load may have displaced', () => {
    const inventory = createUpstreamInventory(UPSTREAM, 0);
    inventory.applyReport(makeReport(['a', 'b']), 1_000);
    inventory.recordCopies('c', 2_000);
    expect(inventory.onDisk.has('a')).toBe(false);
    // The data of this report may be older than the load.
    inventory.applyReport(makeReport(['a', 'b']), 2_000 + REPORT_LAG_MS - 1);
    expect(inventory.onDisk.has('a')).toBe(false);
    expect(inventory.areCopiesKnown()).toBe(false);
    inventory.applyReport(makeReport(['b', 'c']), 2_000 + REPORT_LAG_MS);
    expect([...inventory.onDisk]).toEqual(['b', 'c']);
    expect(inventory.areCopiesKnown()).toBe(true);
  });
});
