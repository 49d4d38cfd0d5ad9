import {createManualClock} from '@siskinplank/foundation';
import type {Logger, ManualClock} from '@siskinplank/foundation';
import {
  LifeSign,
  OrderOperation,
  OrderOutcome,
  ReportFailureCode,
  UpstreamControl,
  UpstreamState,
} from '@siskinplank/serving';
import type {
  EngineSpec,
  LifeCheck,
  ReportFailure,
  Upstream,
  UpstreamOrder,
  UpstreamReport,
} from '@siskinplank/serving';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {createPlacementController} from './placement-controller';
import type {PlacementController} from './placement-controller';

const MODEL_MB = 40;
const CAPACITY_MB = 100;
const LOAD_MS = 1_000;
const REPORT_LAG_MS = 200;
const OPEN_REPORT_DELAY_MS = 300;

const ENGINE: EngineSpec = {
  slots: 8,
  cacheTokens: 10_000,
  weightsMb: CAPACITY_MB,
  adapterSlots: 2,
  loadsPerSecond: 2,
  models: new Map(
    ['a', 'b', 'c'].map(name => [
      name,
      {
        name,
        weightsMb: MODEL_MB,
        storeLoadMs: LOAD_MS,
        diskLoadMs: LOAD_MS,
        memoryLoadMs: LOAD_MS,
        adapterCount: 4,
        adapterMb: 1,
      },
    ]),
  ),
};

/** An upstream with lost responses, late execution and late reports. */
class FakeUpstream extends UpstreamControl {
  readonly models = new Set<string>();
  readonly adapters = new Set<string>();
  readonly orders: UpstreamOrder[] = [];
  sequence = 0;
  /** Outcomes to return instead of executing the next orders. */
  readonly scriptedOutcomes: OrderOutcome[] = [];
  crashed = false;
  /** Why reports fail and orders get no response; undefined if they do not. */
  failure: ReportFailureCode | undefined;
  private arriving: {model: string; dueMs: number} | undefined;
  private readonly history: Array<{atMs: number; report: UpstreamReport}> = [];

  constructor(private readonly clock: ManualClock) {
    super();
  }

  sendOrder(_upstream: Upstream, order: UpstreamOrder): Promise<OrderOutcome> {
    this.orders.push(order);
    if (this.failure !== undefined)
      return Promise.resolve(OrderOutcome.NoAnswer);
    const scripted = this.scriptedOutcomes.shift();
    if (scripted !== undefined) return Promise.resolve(scripted);
    return Promise.resolve(this.executeOrder(order));
  }

  checkLife(): Promise<LifeCheck> {
    return Promise.resolve({sign: LifeSign.Alive, reason: ''});
  }

  readReport(): Promise<Either<ReportFailure, UpstreamReport>> {
    if (this.failure !== undefined)
      return Promise.resolve(Left({code: this.failure, reason: ''}));
    this.recordReport();
    const latestMs = this.clock.getNowMs() - REPORT_LAG_MS;
    const known = this.history.filter(({atMs}) => atMs <= latestMs).at(-1);
    return Promise.resolve(Right((known ?? this.history[0]).report));
  }

  /** Executes an order as if it had just been received. */
  executeOrder(order: UpstreamOrder): OrderOutcome {
    this.recordReport();
    if (this.arriving !== undefined) return OrderOutcome.Conflict;
    if (order.expectedSequence !== this.sequence) return OrderOutcome.Conflict;
    this.sequence += 1;
    if (order.adapter !== undefined) {
      const key = `${order.model}/${order.adapter}`;
      if (order.operation === OrderOperation.Load) this.adapters.add(key);
      else this.adapters.delete(key);
      if (this.adapters.size > ENGINE.adapterSlots) this.crashed = true;
    } else if (order.operation === OrderOperation.Unload) {
      this.models.delete(order.model);
    } else {
      const usedMb = (this.models.size + 1) * MODEL_MB;
      if (usedMb > CAPACITY_MB) this.crashed = true;
      const dueMs = this.clock.getNowMs() + LOAD_MS;
      this.arriving = {model: order.model, dueMs};
    }
    this.recordReport();
    return OrderOutcome.Accepted;
  }

  /** Completes a due load and records the report of the current time. */
  recordReport(): void {
    const nowMs = this.clock.getNowMs();
    if (this.arriving !== undefined && nowMs >= this.arriving.dueMs) {
      this.models.add(this.arriving.model);
      this.arriving = undefined;
    }
    const models = [...this.models].map(name => ({
      name,
      version: 1,
      adapters: [...this.adapters]
        .filter(key => key.startsWith(`${name}/`))
        .map(key => key.slice(name.length + 1)),
    }));
    this.history.push({
      atMs: nowMs,
      report: {
        models,
        isChangingModel: this.arriving !== undefined,
        orderSequence: this.sequence,
        queuedCount: 0,
        runningCount: 0,
        usedCacheTokens: 0,
        totalCacheTokens: ENGINE.cacheTokens,
        pendingAdapters: [],
        modelsInMemory: [],
        modelsOnDisk: [],
      },
    });
  }
}

const SILENT_LOGGER: Logger = {
  log: () => undefined,
  withFields: () => SILENT_LOGGER,
};

interface Harness {
  clock: ManualClock;
  fake: FakeUpstream;
  controller: PlacementController;
  /** Upstreams whose addresses others have. */
  ended: string[];
  run(
    durationMs: number,
    waiting?: readonly string[],
    models?: EngineSpec['models'],
  ): Promise<void>;
  /** Takes the upstream out of the list of those that may be used. */
  removeUpstream(): void;
}

function createHarness(models: readonly string[]): Harness {
  const clock = createManualClock();
  const fake = new FakeUpstream(clock);
  for (const model of models) fake.models.add(model);
  fake.recordReport();
  const upstream: Upstream = {
    id: 'u1',
    service: 'llm',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'fd-a',
    softwareVersion: '',
    slots: 8,
    state: UpstreamState.Ready,
    startedAtMs: 1,
    models: models.map(name => ({name, version: 1, adapters: []})),
    orderSequence: 0,
    remainingMs: undefined,
  };
  let upstreams: readonly Upstream[] = [upstream];
  const ended: string[] = [];
  const controller = createPlacementController({
    control: fake,
    clock,
    logger: SILENT_LOGGER,
    holder: 'gateway-a',
    getToken: () => 1,
    onFenced: () => undefined,
    onEnded: ({id}) => ended.push(id),
    onChange: () => undefined,
    openPerCopy: 8,
    getOpenReportDelayMs: () => OPEN_REPORT_DELAY_MS,
  });
  return {
    clock,
    fake,
    controller,
    ended,
    run: async (durationMs, waiting = [], specs = ENGINE.models) => {
      const endMs = clock.getNowMs() + durationMs;
      while (clock.getNowMs() < endMs) {
        controller.tick(
          {
            engine: {...ENGINE, models: specs},
            upstreams,
            demand: waiting.map(model => ({
              model,
              requestsPerSecond: 1,
              averageOpen: 0,
              waitingCount: 1,
              oldestWaitMs: 0,
              waitingByVersion: new Map(),
            })),
            unreachableIds: new Set(),
            open: new Map(),
          },
          clock.getNowMs(),
        );
        for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
        clock.runFor(20);
        for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
        fake.recordReport();
      }
    },
    removeUpstream: () => {
      upstreams = [];
    },
  };
}

describe('placement controller', () => {
  it('replaces an idle model by one with waiting requests', async () => {
    const {fake, run} = createHarness(['a', 'b']);
    await run(4_000, ['c']);
    expect(fake.models.has('c')).toBe(true);
    expect(fake.crashed).toBe(false);
  });

  // Requests that had waited for a load got 503 from an upstream that dropped the
  // model again before they were reported.
  it('keeps a model that has just been loaded until its requests are reported', async () => {
    const {clock, controller, fake, run} = createHarness(['a']);
    const large = new Map(
      [...ENGINE.models].map(([name, model]) => [
        name,
        {...model, weightsMb: CAPACITY_MB - ENGINE.adapterSlots},
      ]),
    );
    const isHeld = (name: string): boolean =>
      controller
        .summarize(clock.getNowMs())
        .some(({models}) => models.some(model => model.name === name));
    while (!isHeld('b')) await run(20, ['b'], large);
    const loadedAtMs = clock.getNowMs();
    fake.orders.length = 0;
    while (fake.orders.length === 0) await run(20, ['a'], large);
    expect(fake.orders[0].model).toBe('b');
    const keptMs = clock.getNowMs() - loadedAtMs;
    expect(keptMs).toBeGreaterThan(OPEN_REPORT_DELAY_MS);
    expect(keptMs).toBeLessThan(OPEN_REPORT_DELAY_MS + 200);
  });

  it('sends no further order to an upstream that left during a change', async () => {
    const {fake, removeUpstream, run} = createHarness(['a', 'b']);
    fake.scriptedOutcomes.push(
      ...Array.from({length: 8}, () => OrderOutcome.NoAnswer),
    );
    while (fake.orders.length === 0) await run(20, ['c']);
    removeUpstream();
    await run(20);
    const sentCount = fake.orders.length;
    await run(6_000);
    expect(fake.orders.length).toBe(sentCount);
  });

  // Memory was exceeded when the registration and the first report both left
  // out a load that the gateway with the previous term had ordered.
  it('sends no order before a report shows the orders of the previous term', async () => {
    const {fake, run} = createHarness(['a']);
    fake.executeOrder({
      operation: OrderOperation.Load,
      model: 'b',
      adapter: undefined,
      expectedSequence: 0,
      holder: 'gateway-b',
      token: 0,
    });
    await run(5_000, ['c']);
    expect(fake.crashed).toBe(false);
    expect(fake.models.has('c')).toBe(true);
  });

  it('does not overcommit memory when an unanswered order is executed late', async () => {
    const {fake, run} = createHarness(['a']);
    fake.scriptedOutcomes.push(
      OrderOutcome.NoAnswer,
      OrderOutcome.NoAnswer,
      OrderOutcome.NoAnswer,
      OrderOutcome.NoAnswer,
      OrderOutcome.NoAnswer,
      OrderOutcome.NoAnswer,
    );
    await run(3_000, ['b']);
    const lost = fake.orders[0];
    await run(3_000, ['b', 'c']);
    fake.executeOrder(lost);
    await run(4_000, ['b', 'c']);
    expect(fake.crashed).toBe(false);
  });

  it('evicts an adapter when all slots are taken', async () => {
    const {controller, fake, run} = createHarness(['a']);
    const onlyModel = new Map([...ENGINE.models].slice(0, 1));
    await run(1_500, [], onlyModel);
    for (const adapter of ['a1', 'a2', 'a3']) {
      const loaded = controller.loadAdapter('u1', 'a', adapter);
      await run(500, [], onlyModel);
      expect(await loaded).toBeDefined();
    }
    expect([...fake.adapters]).toEqual(['a/a2', 'a/a3']);
    expect(fake.crashed).toBe(false);
  });

  // The slots were exceeded when concurrent requests each counted the same free
  // slot.
  it('does not exceed the slots when many adapters are requested at once', async () => {
    const {controller, fake, run} = createHarness(['a']);
    const onlyModel = new Map([...ENGINE.models].slice(0, 1));
    await run(1_500, [], onlyModel);
    const loads = ['a1', 'a1', 'a2', 'a3', 'a4', 'a2'].map(adapter =>
      controller.loadAdapter('u1', 'a', adapter),
    );
    await run(500, [], onlyModel);
    await Promise.all(loads);
    expect(fake.crashed).toBe(false);
    expect(fake.adapters.size).toBeLessThanOrEqual(ENGINE.adapterSlots);
    const loaded = fake.orders
      .filter(({operation}) => operation === OrderOperation.Load)
      .map(({adapter}) => adapter);
    expect(loaded.filter(adapter => adapter === 'a1')).toHaveLength(1);
  });

  // Guards against a model that waits since a leaving upstream is asked again and again.
  it('sends no further order at once to an upstream that refused one', async () => {
    const {fake, run} = createHarness(['a', 'b']);
    await run(2_000);
    fake.scriptedOutcomes.push(OrderOutcome.Refused);
    await run(2_500, ['c']);
    expect(fake.orders).toHaveLength(1);
    await run(4_000, ['c']);
    expect(fake.models.has('c')).toBe(true);
  });

  // Guards against orders to an upstream that has crashed and is still listed.
  it('reports an upstream whose address another one has', async () => {
    const {ended, fake, run} = createHarness(['a']);
    await run(2_000);
    expect(ended).toEqual([]);
    fake.failure = ReportFailureCode.OtherUpstream;
    await run(1_500);
    expect(new Set(ended)).toEqual(new Set(['u1']));
  });
});
