import fc from 'fast-check';
import {describe, expect, it, vi} from 'vitest';
import {
  CallOutcome,
  SIZES,
  TOTAL_MIB,
  createWorld,
} from '../testing/order-world';

// A small reserve is used up and refilled often.
vi.mock('../constants', async importOriginal => ({
  ...(await importOriginal<object>()),
  ...{RESERVED_ORDER_IDS: 4, MIN_RESERVED_ORDER_IDS: 3},
  RESERVE_SPREAD_MS: 100,
}));

type World = ReturnType<typeof createWorld>;
type Action = (world: World) => unknown;

const index = fc.nat({max: 20});
const model = fc.nat({max: SIZES.length - 1});
const constant = (weight: number, run: Action) => ({
  weight,
  arbitrary: fc.constant(run),
});
interface Outage {
  /** Models that are loaded and unloaded before the delayed order. */
  earlier: readonly number[];
  model: number;
  isLoad: boolean;
  isKilled: boolean;
  /** Outcome of the last refill write before the outage. */
  lastWrite: CallOutcome;
  /** No-op orders are accepted but executed later. */
  areNoOpsDelayed: boolean;
}

const outage: fc.Arbitrary<Outage> = fc.record({
  earlier: fc.array(model, {maxLength: 4}),
  model,
  isLoad: fc.boolean(),
  isKilled: fc.boolean(),
  lastWrite: fc.constantFrom(...Object.values(CallOutcome)),
  areNoOpsDelayed: fc.boolean(),
});

/** Delays an order sent during an outage and replaces its side process. */
const replaceInOutage =
  (options: Outage): Action =>
  async world => {
    const {isLoad, areNoOpsDelayed} = options;
    const models = SIZES.map((_size, m) => m);
    const toggle = async (m: number): Promise<void> => {
      world.load(m);
      world.unload(m);
      await world.settle();
    };
    const check = () =>
      expect(world.getUsedMiB()).toBeLessThanOrEqual(TOTAL_MIB);
    world.platform.isDown = false;
    await world.settle();
    for (const other of models) {
      if (isLoad || other !== options.model) world.unload(other);
    }
    await world.settle();
    world.wait(200);
    world.takeReport();
    world.tickNewest();
    await world.flush();
    await world.completeStoreCall(0, options.lastWrite);
    world.platform.isDown = true;
    await world.flush();
    for (const m of options.earlier) await toggle(m);
    if (isLoad) world.load(options.model);
    else world.unload(options.model);
    world.takeReport();
    world.tickNewest();
    await world.flush();
    world.delayCopy(0);
    await world.flush();
    world.platform.isDown = false;
    world.replaceSide(options.isKilled);
    for (let round = 0; areNoOpsDelayed && round < 3; round += 1) {
      world.takeReport();
      world.tickNewest();
      await world.flush();
      await world.completeStoreCall(0, CallOutcome.Done);
      await world.completeStoreCall(0, CallOutcome.Done);
      await world.flush();
      for (const m of models) world.acceptNoOp(m);
      world.completeFences();
    }
    if (areNoOpsDelayed) for (const m of [...models].reverse()) world.load(m);
    await world.settle();
    if (areNoOpsDelayed) {
      world.wait(20_000);
      await world.settle();
    }
    check();
    for (const m of [...models].reverse()) world.load(m);
    await world.settle();
    check();
    // The delayed order arrives after the orders of the successor.
    await world.settle(true);
  };
const action: fc.Arbitrary<Action> = fc.oneof(
  {weight: 6, arbitrary: model.map(m => (w: World) => w.load(m))},
  {weight: 4, arbitrary: model.map(m => (w: World) => w.unload(m))},
  {
    weight: 6,
    arbitrary: fc
      .tuple(
        index,
        fc.oneof(
          {weight: 6, arbitrary: fc.constant(CallOutcome.Done)},
          {
            weight: 1,
            arbitrary: fc.constantFrom(...Object.values(CallOutcome)),
          },
        ),
      )
      .map(
        ([i, outcome]) =>
          (w: World) =>
            w.completeStoreCall(i, outcome),
      ),
  },
  {
    weight: 5,
    arbitrary: fc.tuple(index, fc.boolean()).map(
      ([i, lost]) =>
        (w: World) =>
          w.completeEngineCall(i, lost),
    ),
  },
  {weight: 2, arbitrary: index.map(i => (w: World) => w.delayCopy(i))},
  {weight: 2, arbitrary: index.map(i => (w: World) => w.acceptNoOp(i))},
  {weight: 1, arbitrary: index.map(i => (w: World) => w.dropCopy(i))},
  {
    weight: 4,
    arbitrary: fc.tuple(index, fc.nat({max: 4})).map(
      ([i, n]) =>
        (w: World) =>
          w.runEngine(i, n === 0),
    ),
  },
  constant(4, w => w.takeReport()),
  {weight: 2, arbitrary: index.map(i => (w: World) => w.tick(i))},
  constant(5, w => w.tickNewest()),
  {
    weight: 2,
    arbitrary: fc.constantFrom(200, 3_000).map(ms => (w: World) => w.wait(ms)),
  },
  constant(4, w => w.settle()),
  {
    weight: 3,
    arbitrary: outage.map(options => replaceInOutage(options)),
  },
  constant(2, w => (w.platform.isDown = true)),
  constant(3, w => (w.platform.isDown = false)),
  constant(1, w => w.restartEngine()),
  constant(2, w => w.replaceSide(true)),
  constant(1, w => w.replaceSide(false)),
  constant(1, w => w.thaw()),
  constant(1, w => w.reclaimLease()),
);

const LENGTH = {minLength: 10, maxLength: 60, size: 'max'} as const;

const totals = {reserved: 0, noOps: 0, blocked: 0, fullestMiB: 0};

const runWorld = async (actions: readonly Action[]): Promise<World> => {
  const world = createWorld();
  world.takeReport();
  for (const run of actions) {
    await run(world);
    await world.flush();
    expect(world.getUsedMiB()).toBeLessThanOrEqual(TOTAL_MIB);
  }
  return world;
};

describe('order sender for an engine that ignores fencing tokens', () => {
  // INV-01: no sequence of outages, lost replies, delayed copies, restarts,
  // freezes and takeovers may allocate more memory than the engine has.
  it('never lets the engine exceed its memory', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(action, LENGTH), async actions => {
        const {counts} = await runWorld(actions);
        totals.reserved += counts.reserved;
        totals.noOps += counts.noOps;
        totals.blocked += counts.blocked;
        totals.fullestMiB = Math.max(totals.fullestMiB, counts.fullestMiB);
      }),
      {numRuns: 500},
    );
    // The property would hold trivially if no reserved id were used.
    expect(totals.fullestMiB).toBeGreaterThanOrEqual(90);
    expect(totals.reserved).toBeGreaterThan(100);
    expect(totals.noOps).toBeGreaterThan(1_000);
    expect(totals.blocked).toBeGreaterThan(100);
  }, 120_000);

  // INV-02: a successor must not wait forever before it sends orders.
  it('sends orders again after all faults have ended', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(action, LENGTH), async actions => {
        const world = await runWorld(actions);
        world.platform.isDown = false;
        for (let round = 0; round < 6; round += 1) {
          await world.settle(true);
          world.wait(16_000);
        }
        for (let m = 0; m < SIZES.length; m += 1) world.unload(m);
        await world.settle(true);
        world.wait(16_000);
        await world.settle(true);
        world.load(SIZES.length - 1);
        await world.settle(true);
        expect(world.getLedger().listPending()).toEqual([]);
        expect(world.getUsedMiB()).toBe(SIZES.at(-1));
        expect(world.getLedger().getAllocatedMiB()).toBe(SIZES.at(-1));
      }),
      {numRuns: 150},
    );
  }, 120_000);
});
