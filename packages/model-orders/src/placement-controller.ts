/** Keeps the ledgers of all upstreams with models and carries out plans. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {OrderOperation} from '@siskinplank/serving';
import type {EngineSpec, Upstream, UpstreamControl} from '@siskinplank/serving';
import {createAdapterLoader, markLoadedAdapters} from './adapter-loader';
import type {ModelDemand} from './demand-tracker';
import {
  PLACEMENT_CHANGE_ENDED,
  PLACEMENT_CHANGE_STARTED,
  REPORT_FAILED,
  REPORT_RECOVERED,
} from './events';
import {createLoadBudget} from './load-budget';
import type {LoadReservation} from './load-budget';
import {createOrderSender} from './order-sender';
import {planPlacementChanges} from './plan-placement-changes';
import type {PlacementChange, PlannedUpstream} from './plan-placement-changes';
import {ResidencyState, createUpstreamInventory} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** What `createOrderDesk` needs. */
export interface PlacementControllerOptions {
  control: UpstreamControl;
  clock: Clock;
  logger: Logger;
  holder: string;
  getToken(nowMs: number): number | undefined;
  onFenced(): void;
  /** What upstreams hold, or will hold, has changed. */
  onChange(): void;
  /** Open requests that one copy serves without getting slow. */
  openPerCopy: number;
}

/** What planning needs to know of the traffic. */
export interface PlacementInput {
  engine: EngineSpec;
  /** Upstreams of the engine's service. */
  upstreams: readonly Upstream[];
  demand: readonly ModelDemand[];
  /** Open requests by upstream and by model or `model/adapter`. */
  open: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

/** An upstream as the desk describes it to all gateways. */
export interface UpstreamSummary {
  id: string;
  startedAtMs: number;
  queuedCount: number;
  runningCount: number;
  usedCacheTokens: number;
  models: ReadonlyArray<{name: string; adapters: readonly string[]}>;
  changing: string | undefined;
  changeEndsInMs: number | undefined;
}

/** Orders of one service. */
export interface PlacementController {
  /** Reads due reports and starts the moves that are worth it. */
  tick(input: PlacementInput, nowMs: number): void;
  /** Time until the adapter is present, or undefined when it cannot be. */
  loadAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  summarize(nowMs: number): UpstreamSummary[];
  /** Forgets everything: another gateway gave orders meanwhile. */
  reset(): void;
}

/** Time between reports of an upstream that carries out no order. */
const REPORT_PERIOD_MS = 1_000;
/** Time between reports while it is not known what an upstream holds. */
const RECOVERY_PERIOD_MS = 250;
/** Time between looks at an upstream whose load should have ended. */
const COMPLETION_POLL_MS = 150;
/** Loads may take this much longer than expected before they count as lost. */
const LOAD_PATIENCE = 3;
/** Longest wait for runs that an unload waits for, in milliseconds. */
const UNLOAD_PATIENCE_MS = 4_000;
/** Time for gateways to hear that a model is about to go. */
const ANNOUNCE_MS = 25;

/** Creates a desk that knows no upstream. */
export function createPlacementController(
  options: PlacementControllerOptions,
): PlacementController {
  const {clock, logger} = options;
  const sender = createOrderSender(options);
  const budget = createLoadBudget();
  let ledgers = new Map<string, UpstreamInventory>();
  const reading = new Set<UpstreamInventory>();
  const failing = new Set<string>();
  let lastInput: PlacementInput | undefined;
  const adapterLoader = createAdapterLoader({
    sender,
    clock,
    getAdapterSlots: () => lastInput?.engine.adapterSlots ?? 0,
    isInUse: (ledger, key) =>
      (lastInput?.open.get(ledger.upstream.id)?.get(key) ?? 0) > 0,
    onChange: options.onChange,
  });

  const syncLedgers = (upstreams: readonly Upstream[], nowMs: number): void => {
    const next = new Map<string, UpstreamInventory>();
    for (const upstream of upstreams) {
      const known = ledgers.get(upstream.id);
      const isSame = known?.upstream.startedAtMs === upstream.startedAtMs;
      if (known !== undefined && isSame) {
        known.applyRegistration(upstream, nowMs);
        next.set(upstream.id, known);
      } else {
        next.set(upstream.id, createUpstreamInventory(upstream, nowMs));
      }
    }
    ledgers = next;
  };

  const readReport = async (ledger: UpstreamInventory): Promise<void> => {
    if (reading.has(ledger)) return;
    reading.add(ledger);
    const {id} = ledger.upstream;
    const isRead = await sender.refresh(ledger);
    reading.delete(ledger);
    if (isRead && failing.delete(id))
      logger.log(REPORT_RECOVERED, {upstream: id});
    if (!isRead && !failing.has(id)) {
      failing.add(id);
      logger.log(REPORT_FAILED, {upstream: id});
    }
    options.onChange();
  };

  const readDueReports = (nowMs: number): void => {
    for (const ledger of ledgers.values()) {
      if (!ledger.isReady()) continue;
      const isComplete = ledger.isConfirmed && ledger.areCopiesKnown();
      const periodMs = isComplete ? REPORT_PERIOD_MS : RECOVERY_PERIOD_MS;
      if (nowMs - ledger.reportAtMs < periodMs || ledger.isChanging) continue;
      void readReport(ledger);
    }
  };

  const waitForModel = async (
    ledger: UpstreamInventory,
    model: string,
    loadMs: number,
  ): Promise<boolean> => {
    const startedAtMs = clock.getNowMs();
    await clock.waitMs(loadMs);
    const endsAtMs = startedAtMs + loadMs * LOAD_PATIENCE + COMPLETION_POLL_MS;
    while (clock.getNowMs() < endsAtMs) {
      if (ledgers.get(ledger.upstream.id) !== ledger) return false;
      await sender.refresh(ledger);
      const isHeld = ledger.report?.models.some(({name}) => name === model);
      if (isHeld === true) return true;
      await clock.waitMs(COMPLETION_POLL_MS);
    }
    return false;
  };

  const evict = async (
    ledger: UpstreamInventory,
    models: readonly string[],
  ): Promise<boolean> => {
    if (models.length === 0) return true;
    const nowMs = clock.getNowMs();
    for (const model of models) {
      ledger.setModel(model, ResidencyState.Leaving, nowMs);
    }
    options.onChange();
    await clock.waitMs(ANNOUNCE_MS);
    for (const model of models) {
      const isSent = await sender.send(ledger, {
        operation: OrderOperation.Unload,
        model,
        adapter: undefined,
        maxWaitMs: UNLOAD_PATIENCE_MS,
        mayBeBusy: model !== models[0],
      });
      if (!isSent) return false;
    }
    return true;
  };

  const load = async (
    ledger: UpstreamInventory,
    move: PlacementChange,
    loadMs: number,
    reservation: LoadReservation | undefined,
  ): Promise<boolean> => {
    const isSent = await sender.send(ledger, {
      operation: OrderOperation.Load,
      model: move.load,
      adapter: undefined,
      maxWaitMs: UNLOAD_PATIENCE_MS,
      mayBeBusy: move.evict.length > 0,
    });
    const nowMs = clock.getNowMs();
    // An order that was not answered may have begun a load as well.
    reservation?.begin(nowMs);
    if (!isSent) return false;
    // The upstream takes one order at a time, so the unloads are over.
    for (const model of move.evict) ledger.setModel(model, undefined, nowMs);
    ledger.setModel(move.load, ResidencyState.Arriving, nowMs, nowMs + loadMs);
    options.onChange();
    return waitForModel(ledger, move.load, loadMs);
  };

  const runMove = async (
    ledger: UpstreamInventory,
    move: PlacementChange,
    loadMs: number,
    reservation: LoadReservation | undefined,
  ): Promise<void> => {
    const startedAtMs = clock.getNowMs();
    ledger.isChanging = true;
    ledger.setModel(move.load, ResidencyState.Arriving, startedAtMs, Infinity);
    logger.log(PLACEMENT_CHANGE_STARTED, {
      upstream: move.upstream,
      load: move.load,
      evict: move.evict.join(','),
      gain: Math.round(move.gain * 100) / 100,
      isStoreLoad: move.isStoreLoad,
      expectedMs: Math.round(loadMs),
    });
    const isEvicted = await evict(ledger, move.evict);
    const isLoaded =
      isEvicted && (await load(ledger, move, loadMs, reservation));
    reservation?.cancel();
    const nowMs = clock.getNowMs();
    ledger.recordCopies(move.load, nowMs);
    if (isLoaded) {
      ledger.setModel(move.load, ResidencyState.Present, nowMs);
    }
    ledger.isChanging = false;
    // After a failure only a report tells what the upstream holds.
    if (!isLoaded) ledger.isConfirmed = false;
    logger.log(PLACEMENT_CHANGE_ENDED, {
      upstream: move.upstream,
      load: move.load,
      isLoaded,
      tookMs: Math.round(nowMs - startedAtMs),
    });
    await readReport(ledger);
  };

  const planUpstream = (
    ledger: UpstreamInventory,
    input: PlacementInput,
  ): PlannedUpstream => {
    const {engine} = input;
    const openByModel = new Map<string, number>();
    for (const [key, count] of input.open.get(ledger.upstream.id) ?? []) {
      const [model] = key.split('/');
      openByModel.set(model, (openByModel.get(model) ?? 0) + count);
    }
    let largestAdapterMb = 0;
    for (const {adapterMb, adapterCount} of engine.models.values()) {
      if (adapterCount > 0) {
        largestAdapterMb = Math.max(largestAdapterMb, adapterMb);
      }
    }
    const serving = [...ledger.models]
      .filter(([, {state}]) => state !== ResidencyState.Leaving)
      .map(([model]) => model);
    return {
      id: ledger.upstream.id,
      capacityMb: engine.weightsMb - engine.adapterSlots * largestAdapterMb,
      models: new Set(ledger.models.keys()),
      serving: new Set(serving),
      openByModel,
      inMemory: ledger.inMemory,
      onDisk: ledger.onDisk,
      canTakeOrder:
        ledger.isReady() && !ledger.isChanging && ledger.isConfirmed,
    };
  };

  const estimateLoadMs = (
    ledger: UpstreamInventory,
    engine: EngineSpec,
    name: string,
  ): number => {
    const model = engine.models.get(name);
    if (model === undefined) return 0;
    if (ledger.inMemory.has(name)) return model.memoryLoadMs;
    return ledger.onDisk.has(name) ? model.diskLoadMs : model.storeLoadMs;
  };

  const startMoves = (input: PlacementInput, nowMs: number): void => {
    if (options.getToken(nowMs) === undefined) return;
    const {engine} = input;
    const moves = planPlacementChanges({
      upstreams: [...ledgers.values()]
        .filter(ledger => ledger.isReady())
        .map(ledger => planUpstream(ledger, input)),
      models: engine.models,
      demand: input.demand,
      openPerCopy: options.openPerCopy,
      storeLoadsLeft: budget.countLeft(engine, nowMs),
    });
    for (const move of moves) {
      const ledger = ledgers.get(move.upstream);
      if (ledger === undefined) continue;
      const loadMs = estimateLoadMs(ledger, engine, move.load);
      const reservation = move.isStoreLoad ? budget.reserve(loadMs) : undefined;
      void runMove(ledger, move, loadMs, reservation);
    }
  };

  const settleAllAdapters = (nowMs: number): void => {
    for (const ledger of ledgers.values()) markLoadedAdapters(ledger, nowMs);
  };

  const noteAdapterUse = (input: PlacementInput, nowMs: number): void => {
    for (const ledger of ledgers.values()) {
      for (const key of input.open.get(ledger.upstream.id)?.keys() ?? []) {
        const adapter = ledger.adapters.get(key);
        if (adapter !== undefined) adapter.lastUsedAtMs = nowMs;
      }
    }
  };

  return {
    tick: (input, nowMs) => {
      lastInput = input;
      syncLedgers(input.upstreams, nowMs);
      settleAllAdapters(nowMs);
      noteAdapterUse(input, nowMs);
      readDueReports(nowMs);
      startMoves(input, nowMs);
    },
    loadAdapter: (upstreamId, model, adapter) => {
      const ledger = ledgers.get(upstreamId);
      if (ledger === undefined) return Promise.resolve(undefined);
      return adapterLoader.load(ledger, model, adapter);
    },
    summarize: nowMs => {
      settleAllAdapters(nowMs);
      return [...ledgers.values()].map(ledger => {
        const changing = [...ledger.models].find(
          ([, {state}]) => state === ResidencyState.Arriving,
        );
        const endsAtMs = changing?.[1].expectedAtMs;
        const isTimed = endsAtMs !== undefined && Number.isFinite(endsAtMs);
        return {
          id: ledger.upstream.id,
          startedAtMs: ledger.upstream.startedAtMs,
          queuedCount: ledger.report?.queuedCount ?? 0,
          runningCount: ledger.report?.runningCount ?? 0,
          usedCacheTokens: ledger.report?.usedCacheTokens ?? 0,
          models: [...ledger.models]
            .filter(([, {state}]) => state === ResidencyState.Present)
            .map(([name]) => ({
              name,
              adapters: [...ledger.adapters]
                .filter(
                  ([key, {state}]) =>
                    key.startsWith(`${name}/`) &&
                    state === ResidencyState.Present,
                )
                .map(([key]) => key.slice(name.length + 1)),
            })),
          changing: changing?.[0],
          changeEndsInMs: isTimed
            ? Math.max(0, Math.round(endsAtMs - nowMs))
            : undefined,
        };
      });
    },
    reset: () => {
      ledgers = new Map();
      lastInput = undefined;
    },
  };
}
