import {
  LogLevel,
  createLogger,
  createManualClock,
  createRandom,
} from '@siskinplank/foundation';
import {ResourceKind} from '@siskinplank/resources';
import {describe, expect, it} from 'vitest';
import {MemoryPlatform, MemoryStore} from '@siskinplank/testing';
import {WatchMode, createPlatformWatch} from './platform-watch';
import {createReplicaState} from './replica-state';

/** Creates a watch whose clock can jump, as in a process that was frozen. */
function createWatch() {
  const manual = createManualClock(1_000);
  let skippedMs = 0;
  const clock = {...manual, getNowMs: () => manual.getNowMs() + skippedMs};
  const platform = new MemoryPlatform();
  platform.putDirectly(ResourceKind.ApiKey, 'k', {
    name: 'k',
    account: 'account',
    secretHash: '0'.repeat(64),
    createdAtMs: 0,
  });
  const store = new MemoryStore(platform, manual);
  const reportedMs: number[] = [];
  const watch = createPlatformWatch({
    store,
    state: createReplicaState(),
    clock,
    random: createRandom(1),
    logger: createLogger({
      level: LogLevel.Error,
      write: () => undefined,
      getWallMs: () => 0,
    }),
    waitMs: 1_000,
    onApplied: () => undefined,
    onOutage: () => reportedMs.push(watch.getOutageAtMs() ?? Infinity),
  });
  const runFor = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 20) {
      manual.runFor(20);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  const skip = (durationMs: number): void => {
    skippedMs += durationMs;
  };
  return {clock, platform, store, watch, reportedMs, runFor, skip};
}

describe('platform watch', () => {
  it('returns the start of the last failed call during an outage', async () => {
    const {clock, platform, watch, runFor} = createWatch();
    watch.setMode(WatchMode.Watcher);
    await runFor(2_000);
    platform.isDown = true;
    await runFor(5_000);
    const ageMs = clock.getNowMs() - (watch.getOutageAtMs() ?? -Infinity);
    expect(ageMs).toBeLessThan(1_000);
    platform.isDown = false;
    await runFor(2_000);
    expect(watch.getOutageAtMs()).toBeUndefined();
  });

  // Guards against a watcher that was frozen during a pause and reports its
  // earlier failures again, although the platform has recovered.
  it('resets its failures when it was frozen between two calls', async () => {
    const {platform, watch, runFor, skip} = createWatch();
    watch.setMode(WatchMode.Watcher);
    await runFor(2_000);
    platform.isDown = true;
    await runFor(5_000);
    expect(watch.getOutageAtMs()).toBeDefined();
    skip(30_000);
    // The first call after the freeze fails once more, such as by a circuit
    // breaker.
    const failedMs = watch.getOutageAtMs();
    for (let steps = 0; steps < 50; steps += 1) {
      if (watch.getOutageAtMs() !== failedMs) break;
      await runFor(20);
    }
    expect(watch.getOutageAtMs()).toBeUndefined();
  });

  // Guards against a freeze during a call, which then fails by its time-out.
  it('records a failure as of the start of its call', async () => {
    const {clock, platform, store, watch, reportedMs, runFor, skip} =
      createWatch();
    watch.setMode(WatchMode.Watcher);
    await runFor(2_000);
    platform.isDown = true;
    await runFor(5_000);
    const watchObjects = store.watchObjects.bind(store);
    let isFrozen = false;
    store.watchObjects = async (...call) => {
      if (!isFrozen) {
        isFrozen = true;
        skip(30_000);
      }
      return watchObjects(...call);
    };
    const beforeMs = clock.getNowMs();
    reportedMs.length = 0;
    for (let steps = 0; steps < 100 && reportedMs.length === 0; steps += 1) {
      await runFor(20);
    }
    expect(isFrozen).toBe(true);
    expect(reportedMs.length).toBeGreaterThan(0);
    expect(Math.max(...reportedMs)).toBeLessThan(beforeMs + 2_000);
  });
});
