/** Share units during starts, stops, crashes and outages of entry hosts. */
import {ResourceKind} from '@siskinplank/resources';
import type {ShareTable} from '@siskinplank/resources';
import {expect, it} from 'vitest';
import {runClock} from '@siskinplank/testing';
import {RENEWALS_PER_LEASE, SHARE_TABLE_NAME} from './constants';
import {createAccountLimiter} from './limiter';
import {
  TEST_LIMIT_SETTINGS,
  createFakeCluster,
  makeAccount,
} from './testing/fake-cluster';
import type {FakeCluster} from './testing/fake-cluster';

const STEP_MS = 20;
const LEASE_MS = 30_000;

function countUnits(cluster: FakeCluster): Record<string, number> {
  const key = `${ResourceKind.ShareTable}/${SHARE_TABLE_NAME}`;
  const table = cluster.platform.objects.get(key)?.value as ShareTable;
  const seen = new Set(table.holders.flatMap(holder => holder.units));
  const sum = table.holders.reduce((n, holder) => n + holder.units.length, 0);
  expect(seen.size).toBe(sum);
  return Object.fromEntries(
    table.holders.map(holder => [holder.host, holder.units.length]),
  );
}

function createCluster(hosts: readonly string[]): FakeCluster {
  const cluster = createFakeCluster(createAccountLimiter, 4, {
    ...TEST_LIMIT_SETTINGS,
    shareLeaseMs: LEASE_MS,
  });
  cluster.setAccount(makeAccount('acme', 100, 1_000));
  for (const host of hosts) cluster.startProcess(host);
  return cluster;
}

// Guards against units that stay with the first host or without a holder.
it('balances units over the live hosts', async () => {
  const cluster = createCluster(['entry-1']);
  await runClock(cluster.clock, 2_000, STEP_MS);
  expect(countUnits(cluster)).toEqual({'entry-1': 64});
  cluster.startProcess('entry-2');
  cluster.startProcess('entry-3');
  await runClock(cluster.clock, 40_000, STEP_MS);
  expect(countUnits(cluster)).toEqual({
    'entry-1': 22,
    'entry-2': 21,
    'entry-3': 21,
  });
});

// Guards against units that stay without a holder until the next renewal,
// because the write that releases them conflicted with another one.
it('balances units within seconds after conflicting writes', async () => {
  const cluster = createFakeCluster(createAccountLimiter, 4);
  cluster.startProcess('entry-1');
  await runClock(cluster.clock, 2_000, STEP_MS);
  cluster.startProcess('entry-2');
  await runClock(cluster.clock, 500, STEP_MS);
  cluster.platform.conflictingWrites = 2;
  await runClock(cluster.clock, 10_000, STEP_MS);
  expect(cluster.platform.conflictingWrites).toBe(0);
  expect(countUnits(cluster)).toEqual({'entry-1': 32, 'entry-2': 32});
});

// Guards against a stopped host that keeps its units until the lease ends.
it('releases units at a graceful stop', async () => {
  const cluster = createCluster(['entry-1', 'entry-2']);
  await runClock(cluster.clock, 40_000, STEP_MS);
  const [first, second] = cluster.processes;
  let isStopped = false;
  void first.limiter.stop().then(() => (isStopped = true));
  await runClock(cluster.clock, 2_000, STEP_MS);
  expect(isStopped).toBe(true);
  cluster.stopProcess(first);
  await runClock(cluster.clock, 10_000, STEP_MS);
  expect(countUnits(cluster)).toEqual({[second.name]: 64});
});

// Guards against units that are never reclaimed, and against units that are
// reclaimed before the lease has ended.
it('reclaims the units of a crashed host only after the lease', async () => {
  const cluster = createCluster(['entry-1', 'entry-2']);
  await runClock(cluster.clock, 40_000, STEP_MS);
  cluster.stopProcess(cluster.processes[0]);
  await runClock(cluster.clock, LEASE_MS / 2, STEP_MS);
  expect(countUnits(cluster)).toEqual({'entry-1': 32, 'entry-2': 32});
  await runClock(cluster.clock, 2 * LEASE_MS + 30_000, STEP_MS);
  expect(countUnits(cluster)).toEqual({'entry-2': 64});
});

// Guards against spending after the lease ended in a long platform outage, and
// against a limiter that does not recover.
it('stops spending in an outage longer than the lease', async () => {
  const cluster = createCluster(['entry-1']);
  await runClock(cluster.clock, 2_000, STEP_MS);
  const [host] = cluster.processes;
  const reserveNow = async (): Promise<boolean> => {
    const nowMs = host.clock.getNowMs();
    return (await host.limiter.reserve('acme', 1, nowMs, 0)).isRight();
  };
  cluster.platform.isDown = true;
  await runClock(cluster.clock, LEASE_MS / 2, STEP_MS);
  expect(await reserveNow()).toBe(true);
  await runClock(cluster.clock, LEASE_MS, STEP_MS);
  expect(await reserveNow()).toBe(false);
  cluster.platform.isDown = false;
  await runClock(cluster.clock, 60_000, STEP_MS);
  expect(await reserveNow()).toBe(true);
});

// Guards against a lease that expires in an outage of the platform while keys
// are still accepted (`configuration.outageGraceMs`, 600 s), at any time of its
// start between two renewals.
it.each([0, 0.25, 0.5, 0.75, 0.98])(
  'keeps its units in an outage of 600 s from %d of a renewal period on',
  async part => {
    const cluster = createFakeCluster(createAccountLimiter, 4);
    cluster.setAccount(makeAccount('acme', 100, 1_000));
    const host = cluster.startProcess('entry-1');
    const {shareLeaseMs} = TEST_LIMIT_SETTINGS;
    const renewMs = shareLeaseMs / RENEWALS_PER_LEASE;
    await runClock(cluster.clock, 3 * renewMs + part * renewMs, 100);
    cluster.platform.isDown = true;
    await runClock(cluster.clock, 600_000, 100);
    const nowMs = host.clock.getNowMs();
    const result = await host.limiter.reserve('acme', 1, nowMs, 0);
    expect(result.isRight()).toBe(true);
  },
);

// Guards against a host that spends after a freeze in which others took its
// units.
it('spends nothing after a freeze longer than the lease', async () => {
  const cluster = createCluster(['entry-1', 'entry-2']);
  await runClock(cluster.clock, 40_000, STEP_MS);
  const [host] = cluster.processes;
  host.clock.freeze();
  await runClock(cluster.clock, LEASE_MS + 1_000, STEP_MS);
  const nowMs = host.clock.getNowMs();
  const result = await host.limiter.reserve('acme', 1, nowMs, 0);
  expect(result.isLeft()).toBe(true);
});

// Guards against units that are released while a coordinator still spends
// tokens lent on them.
it('releases units only after their loans have ended', async () => {
  const cluster = createCluster(['entry-1', 'entry-2']);
  await runClock(cluster.clock, 40_000, STEP_MS);
  const spendMuch = (): void => {
    for (const process of cluster.processes) {
      cluster.sendRequest(process, {
        account: 'acme',
        tokens: 20,
        usedTokens: 20,
        waitMs: 500,
        holdMs: 10,
      });
    }
  };
  await runClock(cluster.clock, 6_000, STEP_MS, spendMuch);
  const stopMs = cluster.clock.getNowMs();
  const stopped = new Map<string, number>();
  for (const process of cluster.processes) {
    void process.limiter
      .stop()
      .then(() => stopped.set(process.name, cluster.clock.getNowMs() - stopMs));
  }
  await runClock(cluster.clock, 1_000, STEP_MS);
  // One process lent to the other, which may return the loan early.
  await runClock(cluster.clock, 14_000, STEP_MS);
  expect(stopped.size).toBe(2);
  expect(Math.max(...stopped.values())).toBeGreaterThan(200);
  expect(countUnits(cluster)).toEqual({});
});

// Guards against renewals delayed by the backoff of updates without a change.
it('renews a short lease without a gap', async () => {
  const cluster = createCluster(['entry-1', 'entry-2', 'entry-3']);
  await runClock(cluster.clock, 60_000, STEP_MS);
  let gaps = 0;
  const probe = (): void => {
    const held = Object.values(countUnits(cluster));
    if (held.reduce((sum, units) => sum + units, 0) < 64) gaps += 1;
  };
  await runClock(cluster.clock, 5 * LEASE_MS, STEP_MS, probe);
  expect(gaps).toBe(0);
  const key = `${ResourceKind.ShareTable}/${SHARE_TABLE_NAME}`;
  const table = cluster.platform.objects.get(key)?.value as ShareTable;
  for (const holder of table.holders) {
    // 210 s are 21 renewal periods of 10 s; each is at most 1 s late.
    expect(holder.renewal).toBeGreaterThanOrEqual(18);
  }
});
