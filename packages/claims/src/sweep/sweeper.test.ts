/** Deletion of old claims under outages, pauses, lost replies and races. */
import fc from 'fast-check';
import {Left} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {
  LogLevel,
  createLogger,
  createManualClock,
  createMetrics,
} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {PlatformStore} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import {makeClaimName} from '../registry';
import {RETENTION_MS, createSweepWorld} from '../testing/sweep-world';
import type {SweepWorld} from '../testing/sweep-world';
import {createSweepMetrics} from './metrics';
import {createShardSweeper} from './shard-sweeper';
import {ClaimOutcomeType} from '../types';
import type {ClaimRegistry, HeldClaim} from '../types';

const response = {
  status: 201,
  contentType: 'text/plain',
  body: new TextEncoder().encode('two brass plates'),
};

const acquire = (registry: ClaimRegistry, key: string) =>
  registry.acquire({
    account: 'plaksne',
    idempotencyKey: key,
    bodyHash: 'body',
    wallMs: 0,
  });

async function completeRequest(
  registry: ClaimRegistry,
  key: string,
): Promise<void> {
  const outcome = await acquire(registry, key);
  expect(outcome.type).toBe(ClaimOutcomeType.Acquired);
  await registry.complete((outcome as {claim: HeldClaim}).claim, response);
}

const countClaims = (world: SweepWorld): number =>
  world.store.listStored(ResourceKind.Claim).length;

function createShardWorld(shard: string, store: PlatformStore) {
  const clock = createManualClock();
  const sweeper = createShardSweeper({
    shard,
    store,
    clock,
    logger: createLogger({
      level: LogLevel.Error,
      getWallMs: () => 0,
      write: () => undefined,
    }),
    metrics: createSweepMetrics(createMetrics()),
    holder: 'entry-1/1',
    periods: {
      retentionMs: 100,
      markSpacingMs: 10,
      saveMs: 1_000,
      maxStepMs: 2_000,
      pageMs: 10,
      passMs: 10,
    },
    getDeleteIntervalMs: () => 0,
  });
  return async (count: number, stepMs: number): Promise<void> => {
    for (let step = 0; step < count; step += 1) {
      clock.runFor(stepMs);
      await sweeper.step();
    }
  };
}

describe('createClaimSweeper', () => {
  // Guards against claims that are never deleted, or before the retention ends.
  it('deletes a claim after the retention and not before', async () => {
    const world = createSweepWorld(1);
    const registry = world.addRegistry('entry-1');
    world.addProcess();
    await completeRequest(registry, 'order-1');
    await world.runFor(RETENTION_MS);
    expect((await acquire(registry, 'order-1')).type).toBe(
      ClaimOutcomeType.Replay,
    );
    await world.runFor(RETENTION_MS * 0.25);
    expect(countClaims(world)).toBe(0);
    expect(world.deletedAges[0]).toBeGreaterThanOrEqual(RETENTION_MS);
  });

  // Guards against a mark whose age starts before its revision was reached, and
  // against deletions long after the retention.
  it('deletes claims soon after the retention, whenever created', async () => {
    const world = createSweepWorld(6);
    const registry = world.addRegistry('entry-1');
    world.addProcess();
    for (let index = 0; index < 60; index += 1) {
      await world.runFor(500);
      await completeRequest(registry, `order-${index}`);
    }
    await world.runFor(RETENTION_MS * 1.3);
    expect(countClaims(world)).toBe(0);
    expect(world.overestimatedMarks).toEqual([]);
    expect(Math.min(...world.deletedAges)).toBeGreaterThanOrEqual(RETENTION_MS);
    expect(Math.max(...world.deletedAges)).toBeLessThan(RETENTION_MS * 1.2);
  });

  // Guards against ages that start again from 0 with each restart, so that
  // nothing is ever deleted where processes restart every day.
  it('continues from the ages of a stopped process', async () => {
    const world = createSweepWorld(2);
    await completeRequest(world.addRegistry('entry-1'), 'order-1');
    for (let restart = 0; restart < 7; restart += 1) {
      const process = world.addProcess();
      await world.runFor(RETENTION_MS * 0.22);
      await process.sweeper.stop();
    }
    expect(countClaims(world)).toBe(0);
  });

  // Guards against claims that are deleted although repeated requests could not
  // be sent during a long outage.
  it.each([false, true])('survives an outage, frozen: %s', async isFrozen => {
    const world = createSweepWorld(3);
    const registry = world.addRegistry('entry-1');
    const process = world.addProcess();
    await completeRequest(registry, 'order-1');
    await world.runFor(RETENTION_MS * 0.5);
    world.store.isDown = true;
    if (isFrozen) process.store.freeze();
    await world.runFor(RETENTION_MS * 5);
    world.store.isDown = false;
    process.store.thaw();
    await world.runFor(RETENTION_MS * 0.3);
    expect((await acquire(registry, 'order-1')).type).toBe(
      ClaimOutcomeType.Replay,
    );
    await world.runFor(RETENTION_MS * 0.5);
    expect(countClaims(world)).toBe(0);
  });

  // Guards against deletions that use up the platform calls of requests, and
  // against a pass that ends after its first page.
  it('deletes many claims of a shard by pages at a limited rate', async () => {
    const world = createSweepWorld(4);
    for (let index = 0; index < 1_200; index += 1) {
      const name = `a${String(index).padStart(6, '0')}`;
      const value = {name, account: 'a', bodyHash: '', nonce: name};
      await world.store.putObject(
        ResourceKind.Claim,
        name,
        {...value, claimant: '', state: 'completed', createdAtMs: 0} as never,
        'absent',
      );
    }
    // 16 deletions per second are one per second in each of the 16 shards; the
    // second process makes ten.
    const slow = world.addProcess({deletesPerSecond: 16});
    await world.runFor(RETENTION_MS * 1.25);
    const before = world.deletedAges.length;
    await world.runFor(100_000);
    const deleted = world.deletedAges.length - before;
    expect(deleted).toBeGreaterThan(50);
    expect(deleted).toBeLessThanOrEqual(101);
    await slow.sweeper.stop();
    const fast = world.addProcess();
    // Time advances in steps of 500 ms, with one call in each.
    await world.runFor(800_000);
    expect(countClaims(world)).toBe(0);
    const calls = [...slow.store.calls, ...fast.store.calls];
    expect(calls.filter(call => call === 'page').length).toBeGreaterThan(40);
    expect(world.deletedAges.length).toBe(1_200);
  });

  // Guards against marks of revisions that a restored platform assigns a second
  // time, so that new claims count as old.
  it('discards its marks when the platform was restored', async () => {
    const {store, addRegistry} = createSweepWorld(5);
    const name = makeClaimName('plaksne', 'young');
    const runSteps = createShardWorld(name[0], store);
    await runSteps(8, 1_000);
    await runSteps(1, 10);
    store.replaceState([], 1);
    await completeRequest(addRegistry('entry-1'), 'young');
    await runSteps(9, 10);
    expect(store.listStored(ResourceKind.Claim).length).toBe(1);
  });

  // Guards against listing all claims once per page interval on a platform that
  // does not support pages.
  it('waits for the pass period after a rejected page', async () => {
    const {store} = createSweepWorld(7);
    let pages = 0;
    store.listVersions = () => {
      pages += 1;
      const code = PlatformErrorCode.Invalid;
      return Promise.resolve(Left({code, message: 'no page'}));
    };
    const runSteps = createShardWorld('a', store);
    await runSteps(100, 2);
    expect(pages).toBeLessThanOrEqual(20);
    expect(pages).toBeGreaterThan(10);
  });

  // Guards against a repeated request that fails, or runs twice, when it claims
  // a released key while the old claim is being deleted.
  it('lets a request claim a key while its claim is deleted', async () => {
    for (let seed = 0; seed < 20; seed += 1) {
      const world = createSweepWorld(Math.imul(seed, 0x9e3779b1));
      const registry = world.addRegistry('entry-1');
      const outcome = await acquire(registry, 'order-1');
      await registry.release((outcome as {claim: HeldClaim}).claim);
      const [released] = world.store.listStored(ResourceKind.Claim);
      const [repeat] = await Promise.all([
        acquire(registry, 'order-1'),
        world.store.deleteObject(
          ResourceKind.Claim,
          released.name,
          released.version,
        ),
      ]);
      expect(repeat.type).toBe(ClaimOutcomeType.Acquired);
      const second = world.addRegistry('entry-2');
      expect((await acquire(second, 'order-1')).type).toBe(
        ClaimOutcomeType.InProgress,
      );
    }
  });
});

interface ModelStep {
  action: 'order' | 'time' | 'freeze' | 'thaw' | 'owner' | 'late';
  index: number;
  fraction: number;
}

const stepArbitrary: fc.Arbitrary<ModelStep> = fc.record({
  action: fc.constantFrom(
    'order',
    'order',
    'time',
    'time',
    'freeze',
    'thaw',
    'owner',
    'late',
  ),
  index: fc.integer({min: 0, max: 2}),
  fraction: fc.double({min: 0, max: 1, noNaN: true}),
});

/** Runs the steps; returns the true times at which each key was run. */
async function runModel(
  world: SweepWorld,
  steps: readonly ModelStep[],
): Promise<Map<string, number[]>> {
  const {store, clock} = world;
  // The clocks of the sweepers run up to 0.5% too fast or too slow.
  const processes = [0.995, 1, 1.005].map(clockRate =>
    world.addProcess({clockRate}),
  );
  const registries = [0, 1, 2].map(index =>
    world.addRegistry(`entry-${index}`),
  );
  const runs = new Map<string, number[]>();
  const runRequest = async (step: ModelStep): Promise<void> => {
    const key = `order-${Math.floor(step.fraction * 3)}`;
    const registry = registries[step.index];
    const outcome = await acquire(registry, key);
    if (outcome.type !== ClaimOutcomeType.Acquired) return;
    runs.set(key, [...(runs.get(key) ?? []), clock.getNowMs()]);
    if (step.fraction > 0.9) return;
    await (step.fraction < 0.2
      ? registry.markUnknown(outcome.claim)
      : registry.complete(outcome.claim, response));
  };
  const orders: Array<Promise<void>> = [];
  for (const step of steps) {
    const process = processes[step.index];
    if (step.action === 'order') orders.push(runRequest(step));
    if (step.action === 'freeze') process.store.freeze();
    if (step.action === 'thaw') process.store.thaw();
    if (step.action === 'owner') process.isOwner = step.fraction < 0.6;
    if (step.action === 'late') store.applyDelayedWrites();
    const isTime = step.action === 'time';
    await world.runFor(isTime ? step.fraction * RETENTION_MS * 0.6 : 500);
  }
  store.faultShare = 0;
  store.applyDelayedWrites();
  // A single owner must be able to finish all deletions.
  for (const process of processes) {
    process.isOwner = process === processes[0];
    process.store.thaw();
  }
  await world.runFor(RETENTION_MS * 2.5);
  await Promise.all(orders);
  for (const {sweeper} of processes) await sweeper.stop();
  return runs;
}

describe('several sweepers', () => {
  // Guards against a claim that is deleted too early under any interleaving of
  // pauses, takeovers, lost replies, delayed writes and clock drift, so that a
  // request runs twice within the retention.
  it('keep every claim for the retention and delete it later', async () => {
    let deletions = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        fc.double({min: 0, max: 0.4, noNaN: true}),
        fc.array(stepArbitrary, {minLength: 8, maxLength: 24}),
        async (seed, faultShare, steps) => {
          const world = createSweepWorld(seed);
          world.store.faultShare = faultShare;
          const runs = await runModel(world, steps);
          deletions += world.deletedAges.length;
          for (const ageMs of world.deletedAges) {
            expect(ageMs).toBeGreaterThanOrEqual(RETENTION_MS);
          }
          expect(world.overestimatedMarks).toEqual([]);
          for (const times of runs.values()) {
            for (let index = 1; index < times.length; index += 1) {
              const gapMs = times[index] - times[index - 1];
              expect(gapMs).toBeGreaterThanOrEqual(RETENTION_MS);
            }
          }
          expect(countClaims(world)).toBe(0);
        },
      ),
      {numRuns: 60},
    );
    expect(deletions).toBeGreaterThan(60);
  }, 60_000);
});
