import fc from 'fast-check';
import {
  LogLevel,
  createLogger,
  createManualClock,
  createRandom,
} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';
import {ResourceKind} from '@siskinplank/resources';
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
const KIND = ResourceKind.Lease;
const logger = createLogger({
  level: LogLevel.Error,
  write: () => undefined,
  getWallMs: () => 0,
});

describe('lease holder', () => {
  it('has at most one holder at a time, and its epochs increase', async () => {
    // Guards against two simultaneous holders after a frozen holder, a delayed
    // renewal, or an acquisition whose reply was lost.
    const pause = fc.record({
      holder: fc.nat(2),
      afterMs: fc.integer({min: 50, max: 1_500}),
      forMs: fc.integer({min: 50, max: 3_000}),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(pause, {maxLength: 8}),
        fc.integer(),
        fc.constantFrom(0, 0.2, 0.5),
        async (pauses, seed, lossRate) => {
          const clock = createManualClock();
          const platform = new MemoryPlatform();
          const random = createRandom(seed);
          const faults = {lossRate, slowRate: 0.05};
          const freezers = [new Freezer(), new Freezer(), new Freezer()];
          const holders = freezers.map((freezer, index) =>
            createLeaseHolder({
              store: new FaultyStore(platform, clock, freezer, random, faults),
              name: NAME,
              holderId: `h${index}`,
              durationMs: DURATION_MS,
              clock: withFreezer(clock, freezer),
              random,
              logger,
            }),
          );
          let lastEpoch = 0;
          let lastHolder: LeaseHolder | undefined;
          const check = (): void => {
            const nowMs = clock.getNowMs();
            const held = holders.filter(
              holder => holder.getEpoch(nowMs) !== undefined,
            );
            expect(held.length).toBeLessThanOrEqual(1);
            if (held.length === 0) return;
            const epoch = held[0].getEpoch(nowMs) ?? 0;
            if (held[0] === lastHolder) {
              expect(epoch).toBeGreaterThanOrEqual(lastEpoch);
            } else expect(epoch).toBeGreaterThan(lastEpoch);
            lastEpoch = epoch;
            [lastHolder] = held;
          };
          for (const holder of holders) holder.start();
          for (const {holder, afterMs, forMs} of pauses) {
            await runFor(clock, afterMs, check);
            const freezer = freezers[holder];
            freezer.isFrozen = true;
            clock.startTimer(forMs, () => freezer.resume());
          }
          await runFor(clock, 4_000, check);
          // After the faults end, exactly one process must get the lease.
          for (const freezer of freezers) freezer.resume();
          faults.lossRate = 0;
          faults.slowRate = 0;
          await runFor(clock, DURATION_MS * 5, check);
          const nowMs = clock.getNowMs();
          expect(
            holders.filter(holder => holder.getEpoch(nowMs) !== undefined),
          ).toHaveLength(1);
          const stopped = Promise.all(holders.map(holder => holder.stop()));
          await runFor(clock, 8_000);
          await stopped;
        },
      ),
      {numRuns: 40},
    );
  });

  const open = (
    platform: MemoryPlatform,
    clock: Clock,
    holderId: string,
    shouldContend?: () => boolean,
  ): LeaseHolder =>
    createLeaseHolder({
      store: new MemoryStore(platform, clock),
      name: NAME,
      holderId,
      durationMs: DURATION_MS,
      clock,
      random: createRandom(1),
      logger,
      shouldContend,
    });

  it('is acquired by another process after a release and not before', async () => {
    const clock = createManualClock();
    const platform = new MemoryPlatform();
    const first = open(platform, clock, 'h1');
    const second = open(platform, clock, 'h2');
    first.start();
    await runFor(clock, 100);
    second.start();
    await runFor(clock, 5_000);
    expect(first.getEpoch(clock.getNowMs())).toBe(1);
    expect(second.getEpoch(clock.getNowMs())).toBeUndefined();
    await first.stop();
    const waiting = second.waitForEpoch(DURATION_MS);
    await runFor(clock, 400);
    expect(await waiting).toBe(2);
    await second.stop();
  });

  it('expires during a freeze, before any timer has run', async () => {
    const clock = createManualClock();
    const holder = open(new MemoryPlatform(), clock, 'h1');
    holder.start();
    await runFor(clock, 100);
    const nowMs = clock.getNowMs();
    expect(holder.getEpoch(nowMs)).toBe(1);
    expect(holder.getEpoch(nowMs + DURATION_MS)).toBeUndefined();
    await holder.stop();
  });

  it('makes no calls while it should not contend', async () => {
    const clock = createManualClock();
    const platform = new MemoryPlatform();
    let isWanted = false;
    const holder = open(platform, clock, 'h1', () => isWanted);
    holder.start();
    await runFor(clock, 3_000);
    expect(platform.calls).toEqual([]);
    isWanted = true;
    await runFor(clock, 1_000);
    expect(holder.getEpoch(clock.getNowMs())).toBe(1);
    expect(platform.objects.get(`${KIND}/${NAME}`)).toBeDefined();
    await holder.stop();
  });
});
