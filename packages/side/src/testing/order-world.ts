/** Simulates an engine, a platform and successive side processes. */
import {Left} from 'purify-ts';
import {
  createManualClock,
  createMetrics,
  createRandom,
} from '@siskinplank/foundation';
import {PlatformErrorCode} from '@siskinplank/platform-client';
import type {LeaseHolder} from '@siskinplank/platform-client';
import {ResourceKind} from '@siskinplank/resources';
import {MemoryPlatform, MemoryStore} from '@siskinplank/testing';
import {createMemoryLedger} from '../memory/ledger';
import {ContentState, OrderType, formatContent, isLoad} from '../memory/types';
import type {EngineStatus, Order} from '../memory/types';
import {createSideMetrics} from '../metrics';
import {logger} from './bench';
import {OrderAnswer} from '../orders/engine-client';
import {createOrderSender} from '../orders/order-sender';
import {createIntentLog} from '../orders/intents';
import {createOrderReserve} from '../orders/reserve';

export const TOTAL_MIB = 100;
export const SIZES = [30, 40, 50, 60];

/** Outcome of a platform call. */
export enum CallOutcome {
  Done = 'done',
  /** The call takes effect, but the reply is lost. */
  ReplyLost = 'reply-lost',
  Failed = 'failed',
  /** The call times out and takes effect later. */
  Late = 'late',
}

type Copy = Omit<Partial<Order>, 'type'> & {orderId: string; type: string};

interface PendingCall<T> {
  owner: {isFrozen: boolean; deferred: Array<() => void>};
  resolve: ((answer: T) => void) | undefined;
}

interface EngineCall extends PendingCall<OrderAnswer> {
  copy: Copy;
}

interface StoreCall extends PendingCall<unknown> {
  run: () => Promise<unknown>;
}

/** Resolves after all pending promise callbacks have run. */
function flush(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Replies to a call, at once or when its process is thawed. */
function replyTo<T>(call: PendingCall<T>, value: T): void {
  const {owner, resolve} = call;
  if (resolve === undefined) return;
  call.resolve = undefined;
  if (owner.isFrozen) owner.deferred.push(() => resolve(value));
  else resolve(value);
}

/** Creates the simulation with its first side process. */
export function createWorld() {
  const clock = createManualClock(1_000);
  const random = createRandom(1);
  const platform = new MemoryPlatform();
  const memoryStore = new MemoryStore(platform, clock);
  const engineCalls: EngineCall[] = [];
  const storeCalls: StoreCall[] = [];
  const content = new Map<string, {order: Order; state: ContentState}>();
  /** Type of the order that was executed under each id. */
  const executed = new Map<string, string>();
  let completed: Array<{orderId: string}> = [];
  const activeOrderIds = new Map<string, string>();
  let reports: EngineStatus[] = [];
  let generation = 1;
  let lastDeliveredMs = 0;
  let epoch = 0;
  const counts = {reserved: 0, noOps: 0, blocked: 0, fullestMiB: 0};

  const getUsedMiB = (): number =>
    [...content.values()].reduce((sum, {order}) => sum + order.memoryMiB, 0);

  const execute = (copy: Copy): void => {
    const {orderId, type} = copy;
    const first = executed.get(orderId);
    if (first !== undefined) {
      if (first === 'set-role' && type !== first) counts.blocked += 1;
      return;
    }
    executed.set(orderId, type);
    if (type === 'set-role') {
      completed.push({orderId});
      return;
    }
    const order = copy as Order;
    const key = formatContent(order);
    const known = content.get(key);
    if (isLoad(order.type) && known === undefined) {
      content.set(key, {order, state: ContentState.Loading});
      activeOrderIds.set(key, orderId);
    } else if (order.type === OrderType.UnloadModel && known !== undefined) {
      known.state = ContentState.Unloading;
      activeOrderIds.set(key, orderId);
    } else completed.push({orderId});
    counts.fullestMiB = Math.max(counts.fullestMiB, getUsedMiB());
  };

  const createSide = () => {
    const side = {
      isFrozen: false,
      deferred: [] as Array<() => void>,
      epoch: undefined as number | undefined,
      isTicking: false,
    };
    const callStore = <T>(run: () => Promise<T>): Promise<T> =>
      new Promise(resolve =>
        storeCalls.push({owner: side, run, resolve: resolve as never}),
      );
    const store = new Proxy(memoryStore, {
      get: (target, name) => {
        const value: unknown = Reflect.get(target, name);
        if (typeof value !== 'function') return value;
        const bound = value.bind(target) as (...input: unknown[]) => unknown;
        if (name === 'isAvailable') return bound;
        return (...input: unknown[]) =>
          callStore(() => bound(...input) as Promise<unknown>);
      },
    });
    const callEngine = (copy: Copy): Promise<OrderAnswer> =>
      new Promise(resolve => engineCalls.push({owner: side, copy, resolve}));
    const ledger = createMemoryLedger({marginMiB: 0, maxReportLagMs: 15_000});
    const intents = createIntentLog('u1', store, clock, logger);
    const reserve = createOrderReserve('u1', store, random, logger);
    const lease: LeaseHolder = {
      start: () => undefined,
      getEpoch: () => (side.epoch === epoch ? epoch : undefined),
      waitForEpoch: () => Promise.resolve(undefined),
      stop: () => Promise.resolve(),
    };
    const orderSender = createOrderSender({
      clock,
      random,
      logger,
      metrics: createSideMetrics(createMetrics()),
      lease,
      ledger,
      client: {
        sendOrder: order => {
          const isReserved = platform.objects.get('OrderReserve/u1')?.value as
            {orderIds: string[]} | undefined;
          if (isReserved?.orderIds.includes(order.orderId)) {
            counts.reserved += 1;
          }
          return callEngine(order);
        },
        sendRole: orderId => {
          counts.noOps += 1;
          return callEngine({orderId, type: 'set-role'});
        },
      },
      isPlatformAvailable: () => memoryStore.isAvailable(),
      getIntents: () => intents,
      reserve,
    });
    let wanted: Order[] = [];
    let orderCount = 0;
    const tick = async (report: EngineStatus): Promise<void> => {
      if (side.isTicking || side.isFrozen) return;
      side.isTicking = true;
      const nowMs = clock.getNowMs();
      const {resolved, failedLoads} = ledger.applyReport(report, nowMs);
      orderSender.handleResolved(resolved, failedLoads, nowMs);
      intents.sweep(nowMs);
      if (await orderSender.ensureReady(report)) {
        orderSender.retryOverdue(clock.getNowMs());
        for (const order of wanted) orderSender.submitOrder(order);
        wanted = [];
        orderSender.fillReserve(report, clock.getNowMs());
      }
      side.isTicking = false;
    };
    const want = (type: OrderType, index: number): void => {
      const model = `m${index}`;
      const entry = ledger.listEntries().find(e => e.model === model);
      const isBusy = ledger.listPending().some(p => p.order.model === model);
      const isDue = isLoad(type)
        ? entry === undefined
        : entry?.state === ContentState.Loaded;
      if (isBusy || !isDue || wanted.some(o => o.model === model)) return;
      orderCount += 1;
      const orderId = `${side.epoch}-${orderCount}`;
      const memoryMiB = SIZES[index];
      wanted.push({orderId, type, model, version: '1', memoryMiB});
    };
    return {side, tick, want, ledger};
  };

  let current = createSide();
  current.side.epoch = ++epoch;
  let frozen: ReturnType<typeof createSide> | undefined;

  const pick = <T>(list: T[], index: number): T | undefined =>
    list.splice(index % Math.max(1, list.length), 1)[0];

  const world = {
    platform,
    counts,
    getUsedMiB,
    flush,
    getLedger: () => current.ledger,
    load: (index: number) => current.want(OrderType.LoadModel, index),
    unload: (index: number) => current.want(OrderType.UnloadModel, index),
    completeStoreCall: async (index: number, outcome: CallOutcome) => {
      const call = pick(storeCalls, index);
      if (call === undefined) return;
      if (outcome === CallOutcome.Failed) {
        const code = PlatformErrorCode.Unavailable;
        replyTo(call, Left({code, message: code}));
        return;
      }
      const code = PlatformErrorCode.OutcomeUnknown;
      const unknown = Left({code, message: code});
      if (outcome === CallOutcome.Late) {
        replyTo(call, unknown);
        storeCalls.push(call);
        return;
      }
      const result = await call.run();
      replyTo(call, outcome === CallOutcome.Done ? result : unknown);
    },
    completeEngineCall: (index: number, isReplyLost: boolean) => {
      const call = pick(engineCalls, index);
      if (call === undefined) return;
      execute(call.copy);
      replyTo(call, isReplyLost ? OrderAnswer.Unknown : OrderAnswer.Accepted);
    },
    /** The call times out, and its copy arrives later. */
    delayCopy: (index: number) => {
      const call = pick(engineCalls, index);
      if (call === undefined) return;
      replyTo(call, OrderAnswer.Unknown);
      engineCalls.push(call);
    },
    /** The engine accepts a no-op order and executes it later. */
    acceptNoOp: (index: number) => {
      const call = engineCalls[index % Math.max(1, engineCalls.length)];
      if (call?.copy.type === 'set-role') replyTo(call, OrderAnswer.Accepted);
    },
    /** Executes no-op orders under new ids, not those under reserved ids. */
    completeFences: () => {
      const stored = platform.listObjects(ResourceKind.OrderReserve);
      const reserved = stored.flatMap(({value}) => value.orderIds);
      for (const call of engineCalls) {
        const {orderId, type} = call.copy;
        if (type !== 'set-role' || reserved.includes(orderId)) continue;
        execute(call.copy);
        replyTo(call, OrderAnswer.Accepted);
      }
    },
    dropCopy: (index: number) => {
      const call = pick(engineCalls, index);
      if (call !== undefined) replyTo(call, OrderAnswer.Unknown);
    },
    runEngine: (index: number, hasFailed: boolean) => {
      const key = pick([...content.keys()], index);
      const item = content.get(key ?? '');
      if (key === undefined || item === undefined) return;
      if (item.state === ContentState.Loaded) return;
      if (item.state === ContentState.Unloading || hasFailed) {
        content.delete(key);
      } else item.state = ContentState.Loaded;
      completed.push({orderId: activeOrderIds.get(key) ?? ''});
    },
    takeReport: () => {
      clock.runFor(1);
      reports.push({
        totalMemoryMiB: TOTAL_MIB,
        usedMemoryMiB: getUsedMiB(),
        models: [...content.values()].map(({order, state}) => ({
          name: order.model,
          version: order.version,
          state,
          memoryMiB: order.memoryMiB,
        })),
        adapters: [],
        reportedAtMs: clock.getNowMs(),
        generation,
        completedOrders: [...completed],
      });
    },
    tick: (index: number) => {
      const report = reports[index % Math.max(1, reports.length)];
      if (report === undefined) return;
      // Reports arrive in order, whichever process fetches them.
      reports = reports.filter(r => r.reportedAtMs >= report.reportedAtMs);
      lastDeliveredMs = Math.max(lastDeliveredMs, report.reportedAtMs);
      void current.tick(report);
    },
    tickNewest: () => world.tick(Math.max(0, reports.length - 1)),
    wait: (ms: number) => clock.runFor(ms),
    /** A restart breaks connections and loses all calls on them. */
    restartEngine: () => {
      generation += 1;
      content.clear();
      executed.clear();
      activeOrderIds.clear();
      completed = [];
      reports = [];
      for (const call of engineCalls.splice(0)) {
        replyTo(call, OrderAnswer.Unknown);
      }
    },
    /** Starts a successor; needs the platform, to acquire the lease. */
    replaceSide: (isKilled: boolean) => {
      if (platform.isDown) return;
      current.side.isFrozen = true;
      frozen = isKilled ? undefined : current;
      current = createSide();
      current.side.epoch = ++epoch;
    },
    thaw: () => {
      if (frozen === undefined) return;
      frozen.side.isFrozen = false;
      for (const resolve of frozen.side.deferred.splice(0)) resolve();
    },
    /** The frozen process resumes and regains the lease. */
    reclaimLease: () => {
      if (platform.isDown || frozen === undefined) return;
      world.thaw();
      const other = current;
      current = frozen;
      frozen = other;
      other.side.isFrozen = true;
      current.side.epoch = ++epoch;
    },
    /** Completes all awaited calls and loads, and delivers reports. */
    settle: async (withLate = false) => {
      for (let round = 0; round < 6; round += 1) {
        while (storeCalls.length > 0) {
          const isDown = platform.isDown;
          const outcome = isDown ? CallOutcome.Failed : CallOutcome.Done;
          await world.completeStoreCall(0, outcome);
          await flush();
        }
        for (const call of engineCalls.splice(0)) {
          if (call.resolve === undefined && !withLate) engineCalls.push(call);
          else {
            execute(call.copy);
            replyTo(call, OrderAnswer.Accepted);
          }
        }
        for (let i = 0; i < SIZES.length; i += 1) world.runEngine(i, false);
        await flush();
        world.takeReport();
        world.tickNewest();
        await flush();
      }
    },
  };
  return world;
}
