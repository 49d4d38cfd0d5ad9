/** Share units that are lent stay with their holder until the loans end. */
import {
  LogLevel,
  createLogger,
  createManualClock,
  createRandom,
} from '@siskinplank/foundation';
import {ResourceKind} from '@siskinplank/resources';
import type {ShareTable} from '@siskinplank/resources';
import {expect, it} from 'vitest';
import {
  DelayedPlatform,
  DelayedStore,
  createFreezableClock,
  runClock,
} from '@siskinplank/testing';
import {SHARE_TABLE_NAME} from './constants';
import {createLender} from './lender';
import {createShareHolder} from './share-holder';
import type {ShareHolder} from './share-holder';
import {makeAccount} from './testing/fake-cluster';

interface HolderHarness {
  holder: ShareHolder;
  platform: DelayedPlatform;
  hosts: string[];
  isLent: boolean;
  countHeld(): number;
  getEntry(): ShareTable['holders'][number] | undefined;
  setTable(table: ShareTable): void;
  runFor(durationMs: number): Promise<void>;
}

function createHarness(): HolderHarness {
  const base = createManualClock(1_000);
  const clock = createFreezableClock(base, 0);
  const random = createRandom(1);
  const platform = new DelayedPlatform();
  const harness: HolderHarness = {
    hosts: ['a'],
    isLent: true,
    platform,
    holder: createShareHolder({
      host: 'a',
      incarnation: '1',
      shareUnits: 64,
      shareLeaseMs: 600_000,
      loanMs: 10_000,
      lendersPerPeriod: 2,
      store: new DelayedStore(platform, clock, random),
      clock,
      random,
      logger: createLogger({
        level: LogLevel.Error,
        getWallMs: () => 0,
        write: () => {},
      }),
      listHosts: () => harness.hosts,
      canReduceTo: units => !harness.isLent || units >= 64,
      onBeforeChange: () => {},
      onChange: () => {},
      notifyUnitsFreed: () => {},
    }),
    countHeld: () => {
      const key = `${ResourceKind.ShareTable}/${SHARE_TABLE_NAME}`;
      const table = platform.objects.get(key)?.value as ShareTable;
      return table.holders.reduce((sum, item) => sum + item.units.length, 0);
    },
    getEntry: () => {
      const key = `${ResourceKind.ShareTable}/${SHARE_TABLE_NAME}`;
      const table = platform.objects.get(key)?.value as ShareTable;
      return table.holders.find(holder => holder.host === 'a');
    },
    setTable: value => {
      const kind = ResourceKind.ShareTable as const;
      const key = `${kind}/${SHARE_TABLE_NAME}`;
      const object = {kind, name: SHARE_TABLE_NAME, version: 1, value};
      platform.objects.set(key, object);
      platform.revision = 1;
    },
    runFor: durationMs => runClock(base, durationMs, 20),
  };
  return harness;
}

// Guards against units that a joining host takes while they are lent.
it('releases excess units only after their loans', async () => {
  const harness = createHarness();
  void harness.holder.start();
  await harness.runFor(2_000);
  harness.hosts = ['a', 'b'];
  // The holder renews its entry within this time.
  await harness.runFor(250_000);
  expect(harness.holder.getUnits(250_000)).toBe(32);
  expect(harness.countHeld()).toBe(64);
  harness.isLent = false;
  await harness.runFor(60_000);
  expect(harness.countHeld()).toBe(32);
});

// Guards against units released while a coordinator still spends their tokens.
it('waits for loans before it releases units at a stop', async () => {
  const harness = createHarness();
  void harness.holder.start();
  await harness.runFor(2_000);
  void harness.holder.stop();
  await harness.runFor(8_000);
  expect(harness.holder.getUnits(10_000)).toBe(0);
  expect(harness.countHeld()).toBe(64);
  harness.isLent = false;
  await harness.runFor(1_000);
  expect(harness.countHeld()).toBe(0);
});

// Guards against units used both by a restarted process and by the coordinator
// to which the crashed one lent them.
it('leaves units unused for one loan after a takeover', async () => {
  const harness = createHarness();
  harness.setTable({
    name: SHARE_TABLE_NAME,
    leaseMs: 600_000,
    unitCount: 2,
    holders: [{host: 'a', incarnation: '0', renewal: 7, units: [0, 1]}],
  });
  void harness.holder.start();
  await harness.runFor(9_500);
  expect(harness.countHeld()).toBe(2);
  expect(harness.holder.getUnits(10_500)).toBe(0);
  await harness.runFor(2_000);
  expect(harness.holder.getUnits(12_500)).toBe(2);
});

function makeFormerTable(loanMs?: number): ShareTable {
  const former = {host: 'a', incarnation: '0', renewal: 7, units: [0, 1]};
  return {
    name: SHARE_TABLE_NAME,
    leaseMs: 600_000,
    unitCount: 2,
    holders: [{...former, ...(loanMs !== undefined && {loanMs})}],
  };
}

// Guards against a restarted process that uses units during a loan of 30 s.
it('leaves units unused for the longest loan after a takeover', async () => {
  const harness = createHarness();
  harness.setTable(makeFormerTable(30_000));
  void harness.holder.start();
  await harness.runFor(29_500);
  expect(harness.holder.getUnits(30_500)).toBe(0);
  await harness.runFor(2_000);
  expect(harness.holder.getUnits(32_500)).toBe(2);
});

// Guards against a second restart that no longer finds the entry of the process
// that lent for 30 s.
it('keeps the loan duration of an earlier incarnation', async () => {
  const harness = createHarness();
  harness.setTable(makeFormerTable(30_000));
  void harness.holder.start();
  await harness.runFor(1_000);
  expect(harness.getEntry()?.incarnation).toBe('1');
  expect(harness.getEntry()?.loanMs).toBe(30_000);
  await harness.runFor(250_000);
  expect(harness.getEntry()?.loanMs).toBe(undefined);
});

// Guards against units used at once when the reply to the takeover's write is
// lost and the table no longer lists the earlier incarnation.
it('leaves units unused when the reply to a takeover is lost', async () => {
  const harness = createHarness();
  harness.setTable(makeFormerTable());
  harness.platform.lostReplyRate = 1;
  void harness.holder.start();
  await harness.runFor(100);
  expect(harness.getEntry()?.incarnation).toBe('1');
  harness.platform.lostReplyRate = 0;
  await harness.runFor(8_000);
  expect(harness.holder.getUnits(9_100)).toBe(0);
  await harness.runFor(4_000);
  expect(harness.holder.getUnits(13_100)).toBe(2);
});

// Guards against loans longer than the duration in the table, and against a
// shorter duration in the table while longer loans are active.
it('lends for longer only after the table is updated', async () => {
  const harness = createHarness();
  void harness.holder.start();
  await harness.runFor(1_000);
  expect(harness.holder.getLoanMs()).toBe(10_000);
  harness.hosts = ['a', 'b', 'c', 'd', 'e'];
  harness.isLent = false;
  harness.platform.isDown = true;
  await harness.runFor(10_000);
  expect(harness.holder.getLoanMs()).toBe(10_000);
  harness.platform.isDown = false;
  await harness.runFor(10_000);
  expect(harness.getEntry()?.loanMs).toBe(30_000);
  expect(harness.holder.getLoanMs()).toBe(30_000);
  harness.hosts = ['a'];
  await harness.runFor(10_000);
  expect(harness.holder.getLoanMs()).toBe(10_000);
  expect(harness.getEntry()?.loanMs).toBe(30_000);
  await harness.runFor(250_000);
  expect(harness.getEntry()?.loanMs).toBe(undefined);
});

// Guards against a second burst on units whose previous holder spent the first.
it('starts from an empty level on acquired units', () => {
  const account = makeAccount('acme', 64, 640);
  const lender = createLender({
    bucketCount: 1,
    holder: {
      getLoanMs: () => 10_000,
      getUnits: () => 32,
      getUnitCount: () => 64,
      getLeaseEndMs: () => 1e9,
    },
    getAccount: () => account,
    getBucket: () => 0,
    listAccounts: () => [account],
  });
  lender.applyUnits(1_000, false);
  expect(lender.refreshPool('acme', 2_000)?.getLevel()).toBeCloseTo(32);
});
