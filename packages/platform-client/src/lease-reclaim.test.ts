import fc from 'fast-check';
import {
  LogLevel,
  createLogger,
  createManualClock,
  createRandom,
} from '@siskinplank/foundation';
import type {Clock, ManualClock} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {MemoryPlatform, MemoryStore} from '@siskinplank/testing';
import {createLeaseHolder} from './index';
import type {LeaseHolder} from './index';
import {
  FaultyStore,
  Freezer,
  runFor,
  withFreezer,
} from './testing/lease-faults';

const DURATION_MS = 1_000;
const NAME = 'placement';
const logger = createLogger({
  level: LogLevel.Error,
  write: () => undefined,
  getWallMs: () => 0,
});

describe('reclaimed lease', () => {
  it('has one holder when processes restart on the same or another host', async () => {
    // Guards against a reclaimed lease that has a second holder: a killed
    // process whose last calls arrive late, or a frozen one on another host.
    const fault = fc.record({
      isKill: fc.boolean(),
      host: fc.nat(1),
      afterMs: fc.integer({min: 20, max: 1_500}),
      forMs: fc.integer({min: 20, max: 2_500}),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(fault, {maxLength: 10}),
        fc.integer(),
        fc.constantFrom(0, 0.2, 0.5),
        async (sequence, seed, lossRate) => {
          const clock = createManualClock();
          const platform = new MemoryPlatform();
          const random = createRandom(seed);
          const faults = {lossRate, slowRate: 0.05};
          let startCount = 0;
          const startOn = (host: string) => {
            const freezer = new Freezer();
            const holder = createLeaseHolder({
              store: new FaultyStore(platform, clock, freezer, random, faults),
              name: NAME,
              holderId: `${host}/${++startCount}`,
              host,
              durationMs: DURATION_MS,
              clock: withFreezer(clock, freezer),
              random,
              logger,
            });
            holder.start();
            return {holder, freezer};
          };
          const hosts = ['a', 'aa'];
          // Only one process at a time can bind a port, so each host has one.
          const live = hosts.map(startOn);
          let lastEpoch = 0;
          let lastHolder: LeaseHolder | undefined;
          const check = (): void => {
            const nowMs = clock.getNowMs();
            const held = live.filter(
              ({holder}) => holder.getEpoch(nowMs) !== undefined,
            );
            expect(held.length).toBeLessThanOrEqual(1);
            if (held.length === 0) return;
            const [{holder}] = held;
            const epoch = holder.getEpoch(nowMs) ?? 0;
            if (holder === lastHolder) {
              expect(epoch).toBeGreaterThanOrEqual(lastEpoch);
            } else expect(epoch).toBeGreaterThan(lastEpoch);
            lastEpoch = epoch;
            lastHolder = holder;
          };
          for (const {isKill, host, afterMs, forMs} of sequence) {
            await runFor(clock, afterMs, check);
            const {freezer} = live[host];
            freezer.isFrozen = true;
            if (isKill) {
              freezer.isKilled = true;
              live[host] = startOn(hosts[host]);
            } else clock.startTimer(forMs, () => freezer.resume());
          }
          await runFor(clock, 3_000, check);
          for (const {freezer} of live) freezer.resume();
          faults.lossRate = 0;
          faults.slowRate = 0;
          await runFor(clock, DURATION_MS * 5, check);
          const nowMs = clock.getNowMs();
          expect(
            live.filter(({holder}) => holder.getEpoch(nowMs) !== undefined),
          ).toHaveLength(1);
          const stopped = Promise.all(live.map(({holder}) => holder.stop()));
          await runFor(clock, 8_000);
          await stopped;
        },
      ),
      {numRuns: 40},
    );
  });

  const openOn = (
    platform: MemoryPlatform,
    clock: Clock,
    host: string | undefined,
    incarnation: string,
    durationMs: number,
  ): LeaseHolder =>
    createLeaseHolder({
      store: new MemoryStore(platform, clock),
      name: NAME,
      holderId: `${host ?? 'any'}/${incarnation}`,
      host,
      durationMs,
      clock,
      random: createRandom(1),
      logger,
    });
  const LONG_MS = 660_000;
  const OUTAGE_MS = 600_000;

  /** Acquires a lease on host `a` with epoch 1 and does not release it. */
  const leaveHeld = async (platform: MemoryPlatform, clock: ManualClock) => {
    const faults = {lossRate: 0, slowRate: 0};
    const freezer = new Freezer();
    const killed = createLeaseHolder({
      store: new FaultyStore(platform, clock, freezer, createRandom(1), faults),
      name: NAME,
      holderId: 'a/1',
      host: 'a',
      durationMs: LONG_MS,
      clock: withFreezer(clock, freezer),
      random: createRandom(1),
      logger,
    });
    killed.start();
    await runFor(clock, 500);
    expect(killed.getEpoch(clock.getNowMs())).toBe(1);
    freezer.isFrozen = true;
    return {killed, freezer};
  };

  // INV-02: a restarted side process must not wait for its old lease to expire.
  it('is reclaimed at once by the next process on the same host', async () => {
    const clock = createManualClock();
    const platform = new MemoryPlatform();
    await leaveHeld(platform, clock);
    const next = openOn(platform, clock, 'a', '2', LONG_MS);
    next.start();
    await runFor(clock, 100);
    expect(next.getEpoch(clock.getNowMs())).toBe(2);
    await next.stop();
  });

  // INV-01: a bound port does not exclude a live holder on another host.
  it.each(['b', 'aa', '', undefined])(
    'is not reclaimed from host a on host %s',
    async host => {
      const clock = createManualClock();
      const platform = new MemoryPlatform();
      const {killed} = await leaveHeld(platform, clock);
      const other = openOn(platform, clock, host, '2', LONG_MS);
      other.start();
      await runFor(clock, 500);
      clock.runFor(LONG_MS - 20_000);
      await runFor(clock, 500);
      expect(other.getEpoch(clock.getNowMs())).toBeUndefined();
      await runFor(clock, 60_000);
      expect(killed.getEpoch(clock.getNowMs())).toBeUndefined();
      expect(other.getEpoch(clock.getNowMs())).toBe(2);
      await other.stop();
    },
  );

  // INV-01: a frozen holder on one host and its successor on another must not
  // both send orders, however late the first one resumes.
  it('is not held by a holder that was frozen past its lease', async () => {
    const clock = createManualClock();
    const platform = new MemoryPlatform();
    const {killed, freezer} = await leaveHeld(platform, clock);
    clock.runFor(LONG_MS);
    expect(killed.getEpoch(clock.getNowMs())).toBeUndefined();
    const other = openOn(platform, clock, 'b', '2', LONG_MS);
    other.start();
    await runFor(clock, 500);
    clock.runFor(LONG_MS);
    await runFor(clock, 30_000);
    expect(other.getEpoch(clock.getNowMs())).toBe(2);
    freezer.resume();
    await runFor(clock, 20_000);
    expect(killed.getEpoch(clock.getNowMs())).toBeUndefined();
    expect(other.getEpoch(clock.getNowMs())).toBe(2);
    await other.stop();
  });

  // INV-02: if a long lease were renewed rarely, too little of it might be left
  // at the start of an outage.
  it('is held through an outage of ten minutes and then expires', async () => {
    const clock = createManualClock();
    const platform = new MemoryPlatform();
    const holder = openOn(platform, clock, 'a', '1', LONG_MS);
    holder.start();
    // The outage begins just before a renewal is due.
    await runFor(clock, 60_000 + 7_500);
    platform.isDown = true;
    const downMs = clock.getNowMs();
    await runFor(clock, 5_000);
    clock.runFor(OUTAGE_MS - 5_000);
    expect(holder.getEpoch(downMs + OUTAGE_MS)).toBe(1);
    expect(holder.getEpoch(downMs + LONG_MS)).toBeUndefined();
    platform.isDown = false;
    clock.runFor(LONG_MS - OUTAGE_MS);
    await runFor(clock, 5_000);
    // No other process acquired it, so it is renewed with the same epoch.
    expect(holder.getEpoch(clock.getNowMs())).toBe(1);
    await holder.stop();
  });
});
