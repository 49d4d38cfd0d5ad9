/** Requests within the rate while entry processes restart or join. */
import {expect, it} from 'vitest';
import {runClock} from '@siskinplank/testing';
import {createAccountLimiter} from './limiter';
import {
  createFakeCluster,
  makeAccount,
  measureExcess,
} from './testing/fake-cluster';
import type {FakeCluster, FakeProcess} from './testing/fake-cluster';

const RATE = 4_000;
const BURST = 12_000;
const STEP_MS = 10;
const REQUEST_PERIOD_MS = 1_000 / 15;
const USED_TOKENS = 40;
/** Tokens per second; 15% of the rate. */
const LOAD = 15 * USED_TOKENS;

async function runLoad(
  cluster: FakeCluster,
  durationMs: number,
): Promise<void> {
  for (let atMs = 0; atMs < durationMs; atMs += REQUEST_PERIOD_MS) {
    const serving = cluster.processes.filter(
      process => process.isAlive && !process.isLeaving,
    );
    const process = serving[cluster.random.getInteger(serving.length)];
    cluster.sendRequest(process, {
      account: 'acme',
      tokens: 60,
      usedTokens: USED_TOKENS,
      waitMs: 2_000,
      holdMs: 250,
    });
    await runClock(cluster.clock, REQUEST_PERIOD_MS, STEP_MS);
  }
}

async function restartProcess(
  cluster: FakeCluster,
  process: FakeProcess,
): Promise<void> {
  process.isLeaving = true;
  await runLoad(cluster, 1_000);
  let isStopped = false;
  void process.limiter.stop().then(() => {
    isStopped = true;
  });
  while (!isStopped) await runLoad(cluster, 100);
  cluster.stopProcess(process);
  await runLoad(cluster, 300);
  cluster.startProcess(process.name);
}

// Guards against refusals within the rate while units and the coordination of
// buckets move between processes.
it.each([1, 2, 3, 4])(
  'refuses nothing within the rate in a rolling restart, seed %i',
  async seed => {
    const cluster = createFakeCluster(createAccountLimiter, seed);
    cluster.setAccount(makeAccount('acme', RATE, BURST));
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      cluster.startProcess(name);
    }
    await runClock(cluster.clock, 30_000, STEP_MS);
    for (const name of ['entry-1', 'entry-2', 'entry-3']) {
      const process = cluster.processes.find(item => item.name === name);
      if (process !== undefined) await restartProcess(cluster, process);
      await runLoad(cluster, 1_000);
    }
    await runLoad(cluster, 20_000);
    expect(cluster.spent.length).toBeGreaterThan(400);
    expect(cluster.refusedCount).toBe(0);
    expect(measureExcess(cluster.spent, RATE, BURST)).toBeLessThan(1e-3);
  },
);

// Guards against units that stay idle for a whole loan while they move from the
// first process to joining ones, and against units that stay free in the table
// for seconds until a joined process reads it again (seeds 10, 18, 58 and 74).
it.each([1, 2, 3, 4, 10, 18, 58, 74])(
  'refuses nothing at half the rate while processes join, seed %i',
  async seed => {
    const cluster = createFakeCluster(createAccountLimiter, seed);
    cluster.setAccount(makeAccount('acme', 2 * LOAD, 4 * LOAD));
    cluster.startProcess('entry-1');
    await runLoad(cluster, 10_000);
    cluster.startProcess('entry-2');
    cluster.startProcess('entry-3');
    await runLoad(cluster, 20_000);
    expect(cluster.spent.length).toBeGreaterThan(400);
    expect(cluster.refusedCount).toBe(0);
    const excess = measureExcess(cluster.spent, 2 * LOAD, 4 * LOAD);
    expect(excess).toBeLessThan(1e-3);
  },
);
