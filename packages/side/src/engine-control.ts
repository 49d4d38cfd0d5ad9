/**
 * Control of a model engine: polls its status and sends orders until the right
 * models and adapters are loaded.
 */
import {makeSecureId} from '@siskinplank/foundation';
import type {Clock, Logger, Random, Timer} from '@siskinplank/foundation';
import type {ConfigurationView} from '@siskinplank/configuration';
import {TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';
import type {LeaseHolder, PlatformStore} from '@siskinplank/platform-client';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {ResourceKind} from '@siskinplank/resources';
import type {Placement, Upstream} from '@siskinplank/resources';
import type {SideSettings} from '@siskinplank/settings';
import type {Attempt} from './attempts/types';
import * as constants from './constants';
import * as events from './events';
import {createCacheIndex} from './load/cache-index';
import type {DemandMeter} from './load/demand';
import type {LedgerLimits, MemoryLedger} from './memory/ledger';
import {ContentState, formatContent} from './memory/types';
import type {EngineStatus, LedgerEntry} from './memory/types';
import type {SideMetrics} from './metrics';
import {createEngineClient} from './orders/engine-client';
import {createOrderSender} from './orders/order-sender';
import {createIntentLog} from './orders/intents';
import {planOrders} from './orders/planner';
import type {ContentUse, WaitingContent} from './orders/planner';
import {createOrderReserve} from './orders/reserve';
import type {FairQueue} from './queue/types';
import type {UpstreamControl} from './upstream-control';

/** Dependencies of the control of an engine. */
export interface EngineControlContext {
  upstream: Upstream;
  settings: SideSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: SideMetrics;
  receiveBudget: ReceiveBudget;
  store: PlatformStore;
  configuration: ConfigurationView;
  lease: LeaseHolder;
  queue: FairQueue;
  demand: DemandMeter;
  createLedger(limits: LedgerLimits): MemoryLedger;
  listRunning(): readonly Attempt[];
  /** Called when the engine was restarted. */
  onRestarted(): void;
  /** Called after each tick, when the loaded models may have changed. */
  onChanged(): void;
}

/** Creates the control of one engine. */
export function createEngineControl(
  context: EngineControlContext,
): UpstreamControl {
  const {upstream, settings, clock, random, logger, metrics} = context;
  const {configuration, lease, queue, demand} = context;
  const client = createEngineClient(upstream.address, context.receiveBudget);
  const ledger = context.createLedger({
    marginMiB: settings.orders.memoryMarginMiB,
    maxReportLagMs: constants.MAX_REPORT_LAG_MS,
  });
  const intents = createIntentLog(upstream.name, context.store, clock, logger);
  const isFencing = (): boolean =>
    configuration.getObject(ResourceKind.Upstream, upstream.name)?.value
      .checksFencing ?? upstream.checksFencing;
  const orderSender = createOrderSender({
    clock,
    random,
    logger,
    metrics,
    lease,
    ledger,
    client,
    isPlatformAvailable: () => context.store.isAvailable(),
    getIntents: () => (isFencing() ? undefined : intents),
    reserve: createOrderReserve(upstream.name, context.store, random, logger),
  });
  const cacheIndex = createCacheIndex();
  let draining: ReadonlySet<string> = new Set();
  let placement: Placement | undefined;
  let timer: Timer | undefined;
  let cacheTimer: Timer | undefined;
  let isTicking = false;
  let isTickWanted = false;
  let isStopped = false;
  let hasStatus = true;

  const isLoaded = (model: string, adapter: string | undefined): boolean =>
    ledger
      .listEntries()
      .some(
        entry =>
          entry.model === model &&
          entry.adapter === adapter &&
          entry.state === ContentState.Loaded &&
          !draining.has(formatContent(entry)),
      );

  const isReady = (target: RequestTarget): boolean => {
    if (target.type !== TargetType.Model) return false;
    const {model, adapter} = target;
    if (!isLoaded(model, undefined)) return false;
    return adapter === undefined || isLoaded(model, adapter);
  };

  const canServe = (target: RequestTarget): boolean => {
    if (target.type !== TargetType.Model) return false;
    const model = configuration.getObject(ResourceKind.Model, target.model);
    if (model === undefined) return false;
    const {upstreams, memoryMiB} = model.value;
    if (upstreams.length > 0 && !upstreams.includes(upstream.name)) {
      return false;
    }
    let neededMiB = memoryMiB + settings.orders.memoryMarginMiB;
    if (target.adapter !== undefined) {
      const adapter = configuration.getObject(
        ResourceKind.Adapter,
        target.adapter,
      );
      if (adapter?.value.model !== target.model) return false;
      neededMiB += adapter.value.memoryMiB;
    }
    const totalMiB = ledger.getTotalMiB() || upstream.memoryMiB;
    return totalMiB === 0 || neededMiB <= totalMiB;
  };

  /** Counts queued and running requests of each model and adapter. */
  const collectUses = (nowMs: number) => {
    const uses = new Map<string, ContentUse>();
    const getUse = (model: string, adapter: string | undefined): ContentUse => {
      const key = `${model} ${adapter ?? ''}`;
      const use = uses.get(key) ?? {
        running: 0,
        queued: 0,
        oldestRunningMs: Infinity,
        demand: demand.getRate(adapter ?? model, nowMs),
      };
      uses.set(key, use);
      return use;
    };
    const listUses = (target: RequestTarget): readonly ContentUse[] => {
      if (target.type !== TargetType.Model) return [];
      const {model, adapter} = target;
      const modelUse = getUse(model, undefined);
      if (adapter === undefined) return [modelUse];
      return [modelUse, getUse(model, adapter)];
    };
    for (const {target, requests} of queue.listWaiting()) {
      for (const use of listUses(target)) use.queued += requests;
    }
    for (const attempt of context.listRunning()) {
      for (const use of listUses(attempt.open.target)) {
        use.running += 1;
        use.oldestRunningMs = Math.min(
          use.oldestRunningMs,
          attempt.handedOverMs ?? nowMs,
        );
      }
    }
    // The demand for an adapter adds to that for its model.
    const modelsByAdapter = new Map<string, string>();
    for (const {model, adapter} of [
      ...ledger.listEntries(),
      ...listUnready(),
    ]) {
      if (adapter !== undefined) modelsByAdapter.set(adapter, model);
    }
    for (const [adapter, model] of modelsByAdapter) {
      getUse(model, undefined).demand += demand.getRate(adapter, nowMs);
    }
    return getUse;
  };

  /** Updates the placement; ignores placements of a lower epoch. */
  const updatePlacement = (): void => {
    const found = configuration.getObject(
      ResourceKind.Placement,
      upstream.name,
    )?.value;
    if (found === undefined || found.epoch < (placement?.epoch ?? 0)) return;
    placement = found;
  };

  const listPlaced = (): Array<{model: string; adapter?: string}> => {
    updatePlacement();
    if (placement === undefined) return [];
    const models = placement.models.map(({name}) => ({model: name}));
    const adapters = placement.adapters.flatMap(({name}) => {
      const adapter = configuration.getObject(ResourceKind.Adapter, name);
      return adapter === undefined
        ? []
        : [{model: adapter.value.model, adapter: name}];
    });
    return [...models, ...adapters];
  };

  const listUnready = (): readonly WaitingContent[] =>
    queue.listWaiting().flatMap(({target, oldestMs, deadlineAtMs}) => {
      if (target.type !== TargetType.Model || isReady(target)) return [];
      const {model, adapter} = target;
      const named = adapter === undefined ? {model} : {model, adapter};
      return [{...named, oldestMs, deadlineAtMs}];
    });

  const runPlan = (nowMs: number): void => {
    const plan = planOrders(
      {
        entries: ledger.listEntries(),
        pending: ledger.listPending(),
        freeMiB: ledger.getFreeMiB(),
        waiting: listUnready(),
        placed: listPlaced(),
        getModel: name =>
          configuration.getObject(ResourceKind.Model, name)?.value,
        getAdapter: name =>
          configuration.getObject(ResourceKind.Adapter, name)?.value,
        getUse: collectUses(nowMs),
        getRetryAtMs: orderSender.getRetryAtMs,
        makeOrderId: makeSecureId,
      },
      nowMs,
    );
    draining = plan.draining;
    for (const order of plan.orders) orderSender.submitOrder(order);
  };

  const applyStatus = (status: EngineStatus, nowMs: number): void => {
    const outcome = ledger.applyReport(status, nowMs);
    if (outcome.hasRestarted) {
      logger.log(events.ENGINE_RESTARTED, {
        generation: String(status.generation),
      });
      cacheIndex.reset();
      context.onRestarted();
    }
    if (status.usedMemoryMiB > status.totalMemoryMiB) {
      logger.log(events.MEMORY_OVERCOMMITTED, {
        usedMiB: status.usedMemoryMiB,
        totalMiB: status.totalMemoryMiB,
      });
    }
    orderSender.handleResolved(outcome.resolved, outcome.failedLoads, nowMs);
  };

  const runTick = async (): Promise<void> => {
    const status = await client.fetchStatus();
    const nowMs = clock.getNowMs();
    status.ifLeft(detail => {
      if (hasStatus) logger.log(events.STATUS_FAILED, {detail});
      hasStatus = false;
    });
    status.ifRight(value => {
      hasStatus = true;
      applyStatus(value, nowMs);
    });
    intents.sweep(nowMs);
    const report = status.toMaybe().extractNullable();
    if (
      report !== null &&
      !isStopped &&
      (await orderSender.ensureReady(report))
    ) {
      orderSender.retryOverdue(clock.getNowMs());
      runPlan(clock.getNowMs());
      orderSender.fillReserve(report, clock.getNowMs());
    }
    context.onChanged();
  };

  const scheduleTick = (delayMs: number): void => {
    timer?.cancel();
    if (isStopped) return;
    timer = clock.startTimer(delayMs, () => void tick());
  };

  const tick = async (): Promise<void> => {
    if (isTicking) {
      isTickWanted = true;
      return;
    }
    isTicking = true;
    isTickWanted = false;
    await runTick();
    isTicking = false;
    const isBusy =
      orderSender.isTakingOver() ||
      ledger.listPending().length > 0 ||
      draining.size > 0 ||
      listUnready().length > 0;
    const periodMs =
      isBusy && hasStatus
        ? constants.FAST_STATUS_PERIOD_MS
        : settings.orders.statusPeriodMs;
    scheduleTick(isTickWanted ? 0 : periodMs);
  };

  const pollCache = async (): Promise<void> => {
    const batch = await client.fetchCacheEvents(cacheIndex.getNextSequence());
    batch.ifRight(cacheIndex.applyEvents);
    batch.ifLeft(detail => logger.log(events.CACHE_EVENTS_FAILED, {detail}));
  };

  const listNames = (
    filter: (entry: Readonly<LedgerEntry>) => boolean,
    getName: (entry: Readonly<LedgerEntry>) => string,
  ): string[] => [...new Set(ledger.listEntries().filter(filter).map(getName))];

  return {
    start: () => {
      void tick();
      cacheTimer = clock.startInterval(
        constants.CACHE_POLL_PERIOD_MS,
        () => void pollCache(),
      );
    },
    stop: async () => {
      isStopped = true;
      timer?.cancel();
      cacheTimer?.cancel();
      await client.close();
    },
    isReady,
    canServe,
    notifyQueued: () => {
      if (listUnready().length > 0) void tick();
    },
    summarizeContent: () => ({
      freeMemoryMiB: ledger.getFreeMiB(),
      models: listNames(
        entry =>
          entry.adapter === undefined && entry.state === ContentState.Loaded,
        entry => entry.model,
      ),
      loadingModels: listNames(
        entry =>
          entry.adapter === undefined &&
          (entry.state === undefined || entry.state === ContentState.Loading),
        entry => entry.model,
      ),
      adapters: listNames(
        entry =>
          entry.adapter !== undefined && entry.state === ContentState.Loaded,
        entry => entry.adapter ?? '',
      ),
      cachedPrefixes: cacheIndex.listPrefixes(),
    }),
  };
}
