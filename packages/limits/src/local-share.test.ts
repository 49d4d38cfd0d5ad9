/** The limiter on the local share units only, without loans. */
import {expect, it} from 'vitest';
import {runClock} from '@siskinplank/testing';
import {createAccountLimiter} from './limiter';
import {
  createFakeCluster,
  makeAccount,
  measureExcess,
} from './testing/fake-cluster';

// Guards against spending above the rate on a single host, and against units
// that are never acquired.
it('spends the whole limit of an account on a single host', async () => {
  const cluster = createFakeCluster(createAccountLimiter, 1);
  cluster.setAccount(makeAccount('acme', 100, 500));
  const host = cluster.startProcess('entry-1');
  await runClock(cluster.clock, 1_000, 20);
  await runClock(cluster.clock, 60_000, 20, () =>
    cluster.sendRequest(host, {
      account: 'acme',
      tokens: 10,
      usedTokens: 10,
      waitMs: 0,
      holdMs: 5,
    }),
  );
  const total = cluster.spent.reduce((sum, item) => sum + item.tokens, 0);
  expect(total).toBeGreaterThan(0.97 * (100 * 60 + 500));
  expect(measureExcess(cluster.spent, 100, 500)).toBeLessThan(1e-3);
});

// Guards against endless waits and against the wrong kind of refusal.
it('refuses requests above the burst and unknown accounts', async () => {
  const cluster = createFakeCluster(createAccountLimiter, 2);
  cluster.setAccount(makeAccount('acme', 100, 500));
  const host = cluster.startProcess('entry-1');
  await runClock(cluster.clock, 1_000, 20);
  const nowMs = host.clock.getNowMs();
  const large = await host.limiter.reserve('acme', 501, nowMs, 1_000);
  expect(large.swap().extract()).toMatchObject({exceedsBurst: true});
  const unknown = await host.limiter.reserve('none', 1, nowMs, 1_000);
  expect(unknown.swap().extract()).toMatchObject({exceedsBurst: false});
});

// Guards against a lowered limit that applies only after the level is spent,
// and a raised one that applies only after a restart.
it('applies changed limits at once', async () => {
  const cluster = createFakeCluster(createAccountLimiter, 3);
  cluster.setAccount(makeAccount('acme', 100, 500));
  const host = cluster.startProcess('entry-1');
  await runClock(cluster.clock, 10_000, 20);
  const reserveNow = (tokens: number): Promise<boolean> =>
    host.limiter
      .reserve('acme', tokens, host.clock.getNowMs(), 0)
      .then(result => result.isRight());
  cluster.setAccount(makeAccount('acme', 10, 50));
  expect(await reserveNow(51)).toBe(false);
  expect(await reserveNow(50)).toBe(true);
  expect(await reserveNow(1)).toBe(false);
  cluster.setAccount(makeAccount('acme', 1_000, 900));
  await runClock(cluster.clock, 1_000, 20);
  expect(await reserveNow(900)).toBe(true);
});

// Guards against a second burst after an account is removed and added again.
it('starts an account that is added again from an empty level', async () => {
  const cluster = createFakeCluster(createAccountLimiter, 4);
  cluster.setAccount(makeAccount('acme', 1, 500));
  const host = cluster.startProcess('entry-1');
  await runClock(cluster.clock, 10_000, 20);
  const reserveNow = (tokens: number): Promise<boolean> =>
    host.limiter
      .reserve('acme', tokens, host.clock.getNowMs(), 0)
      .then(result => result.isRight());
  expect(await reserveNow(500)).toBe(true);
  cluster.removeAccount('acme');
  expect(await reserveNow(1)).toBe(false);
  cluster.setAccount(makeAccount('acme', 1, 500));
  expect(await reserveNow(10)).toBe(false);
});
