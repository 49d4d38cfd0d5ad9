/** Fraction of requests refused although within the rate, without faults. */
import {expect, it} from 'vitest';
import {runClock} from '@siskinplank/testing';
import {createAccountLimiter} from './limiter';
import {
  createFakeCluster,
  makeAccount,
  measureExcess,
} from './testing/fake-cluster';

const RATE = 1_000;
const BURST = 5_000;
const STEP_MS = 10;
const WARM_UP_MS = 60_000;
const RUN_MS = 1_200_000;

// Guards against share units that stay idle while one host has the whole load.
it('serves a load of 0.95 of the rate at one of eight hosts', async () => {
  const cluster = createFakeCluster(createAccountLimiter, 11);
  cluster.setAccount(makeAccount('acme', RATE, BURST));
  const hosts = Array.from({length: 8}, (_, index) =>
    cluster.startProcess(`entry-${index}`),
  );
  await runClock(cluster.clock, WARM_UP_MS, STEP_MS);
  const tokens = 50;
  const requestsPerStep = (0.95 * RATE * STEP_MS) / 1_000 / tokens;
  let requestCount = 0;
  await runClock(cluster.clock, RUN_MS, STEP_MS, () => {
    // Random arrivals at the same mean.
    if (cluster.random.getNext() >= requestsPerStep) return;
    requestCount += 1;
    cluster.sendRequest(hosts[3], {
      account: 'acme',
      tokens,
      usedTokens: tokens,
      waitMs: 2_000,
      holdMs: 500,
    });
  });
  await runClock(cluster.clock, 3_000, STEP_MS);
  const share = cluster.refusedCount / requestCount;
  console.log(
    `refused ${cluster.refusedCount} of ${requestCount} (${(100 * share).toFixed(3)}%), messages ${cluster.network.sentMessages}`,
  );
  expect(requestCount).toBeGreaterThan(15_000);
  expect(share).toBeLessThan(0.001);
  expect(measureExcess(cluster.spent, RATE, BURST)).toBeLessThan(25);
}, 120_000);
