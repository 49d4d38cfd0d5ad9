/** The baseline limiters on a shorter load of the utilisation test. */
import {expect, it} from 'vitest';
import {runClock} from '@siskinplank/testing';
import {createAccountLimiter} from '../limiter';
import {createFakeCluster, makeAccount} from '../testing/fake-cluster';
import type {LimiterFactory} from '../testing/fake-cluster';
import {createCentralLimiter} from './central';
import {createEvenSplitLimiter} from './even-split';

const STEP_MS = 10;

async function measureLimiter(
  createLimiter: LimiterFactory,
): Promise<{refusedShare: number; messages: number}> {
  const cluster = createFakeCluster(createLimiter, 3);
  cluster.setAccount(makeAccount('acme', 1_000, 5_000));
  const hosts = Array.from({length: 8}, (_, index) =>
    cluster.startProcess(`entry-${index}`),
  );
  await runClock(cluster.clock, 10_000, STEP_MS);
  let requestCount = 0;
  await runClock(cluster.clock, 60_000, STEP_MS, () => {
    if (cluster.random.getNext() >= 0.19) return;
    requestCount += 1;
    cluster.sendRequest(hosts[3], {
      account: 'acme',
      tokens: 50,
      usedTokens: 50,
      waitMs: 2_000,
      holdMs: 500,
    });
  });
  await runClock(cluster.clock, 3_000, STEP_MS);
  return {
    refusedShare: cluster.refusedCount / requestCount,
    messages: cluster.network.sentMessages,
  };
}

// Guards against baselines that do not limit as described.
it('compares lending with an even split and a central host', async () => {
  const split = await measureLimiter(createEvenSplitLimiter);
  const central = await measureLimiter(createCentralLimiter);
  const lending = await measureLimiter(createAccountLimiter);
  console.log(JSON.stringify({split, central, lending}));
  expect(split.refusedShare).toBeGreaterThan(0.5);
  expect(split.messages).toBe(0);
  expect(central.refusedShare).toBeLessThan(0.1);
  expect(central.messages).toBeGreaterThan(lending.messages);
  expect(lending.refusedShare).toBeLessThan(0.001);
});
