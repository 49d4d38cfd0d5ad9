import {createManualClock, waitForPoll} from '@siskinplank/foundation';
import {describe, expect, it} from 'vitest';
import {OriginRead, createOriginRefresh} from './origin-refresh';

const MAX_WAIT_MS = 500;
const STEP_MS = 10;

describe('wait for a read of the store', () => {
  /** Reads that end after the given times, and later ones that never end. */
  const startRefresh = async (
    readMs: number[],
    {periodMs = 100, failing = [] as readonly number[]} = {},
  ) => {
    let readCount = 0;
    const clock = createManualClock();
    const refresh = createOriginRefresh({
      clock,
      retryDelayMs: 50,
      getPeriodMs: () => periodMs,
      read: () =>
        new Promise(resolve => {
          const takenMs = readMs.shift();
          const isFailing = failing.includes(readCount);
          readCount += 1;
          if (takenMs === undefined) return;
          clock.startTimer(takenMs, () =>
            resolve(isFailing ? OriginRead.Failed : OriginRead.Complete),
          );
        }),
    });
    const run = async (forMs: number): Promise<void> => {
      for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += STEP_MS) {
        await waitForPoll();
        await clock.runFor(STEP_MS);
      }
      await waitForPoll();
      await waitForPoll();
    };
    refresh.start();
    await run(1_000);
    /** Waits as the request handler does; resolves to the time that it took. */
    const awaitReads = (): Promise<number> => {
      const sinceMs = clock.getNowMs();
      return new Promise(resolve => {
        const retry = (): void => {
          const nowMs = clock.getNowMs();
          const isWaiting =
            refresh.getCompleteSentAtMs() < sinceMs &&
            refresh.awaitRead(sinceMs, nowMs, retry);
          if (!isWaiting) resolve(nowMs - sinceMs);
        };
        retry();
      });
    };
    return {clock, refresh, run, awaitReads};
  };

  // Guards against a second wait behind a read that was sent before the request.
  it('ends within its limit though another read was in progress', async () => {
    const {awaitReads, run} = await startRefresh([1, 480]);
    void awaitReads();
    await run(20);
    const waited = awaitReads();
    await run(2_000);
    expect(await waited).toBeLessThanOrEqual(MAX_WAIT_MS + STEP_MS);
  });

  // Guards against waits that are repeated until a read is due.
  it('ends within its limit in a fleet whose reads are rarer', async () => {
    const {awaitReads, run} = await startRefresh([1, 1], {periodMs: 3_000});
    void awaitReads();
    const waited = awaitReads();
    await run(5_000);
    expect(await waited).toBeLessThanOrEqual(MAX_WAIT_MS + STEP_MS);
  });

  // Guards against a refusal after one reset connection to a store that serves.
  it('goes on after a failed read', async () => {
    const reads = await startRefresh([1, 1, 1], {failing: [1]});
    const sinceMs = reads.clock.getNowMs();
    void reads.awaitReads();
    await reads.run(2_000);
    expect(reads.refresh.getCompleteSentAtMs()).toBeGreaterThanOrEqual(sinceMs);
  });

  // Guards against requests that wait for a store that refuses all calls.
  it('ends at once after two failed reads, until one succeeds', async () => {
    const {awaitReads, run} = await startRefresh([1, 1, 1, 1, 1], {
      failing: [1, 2],
    });
    const first = awaitReads();
    await run(150);
    expect(await first).toBeLessThan(MAX_WAIT_MS);
    expect(await awaitReads()).toBe(0);
    await run(1_000);
    const later = awaitReads();
    await run(1_000);
    expect(await later).toBeGreaterThan(0);
  });

  // Guards against a refusal after a pause though the answer has arrived.
  it('does not take a pause of the process for a silent store', async () => {
    const {clock, refresh, awaitReads, run} = await startRefresh([1, 30, 30]);
    const before = awaitReads();
    await run(10);
    // The answer arrives during the pause, and is read in the next poll.
    const paused = clock.runFor(5_000);
    const nowMs = clock.getNowMs();
    const isWaiting = refresh.awaitRead(nowMs, nowMs, () => undefined);
    await paused;
    await run(1_000);
    await before;
    expect(isWaiting).toBe(true);
  });
});
