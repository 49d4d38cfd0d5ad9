/**
 * Decides which models the upstreams of a service hold: tracks the inventory of
 * each upstream, plans placement changes and carries them out.
 */
import type {Clock, Logger} from '@siskinplank/foundation';
import {OrderOperation} from '@siskinplank/serving';
import type {EngineSpec, Upstream, UpstreamControl} from '@siskinplank/serving';
import {createAdapterLoader, markLoadedAdapters} from './adapter-loader';
import type {ModelDemand} from './demand-tracker';
import {
  describeInventory,
  estimateLoadMs,
  summarizeInventory,
} from './describe-inventory';
import type {UpstreamSummary} from './describe-inventory';
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
import {filterReachable} from './planned-upstream';
import type {PlacementChange} from './plan-placement-changes';
import {createUnplacedModelLog} from './unplaced-models';
import {ResidencyState, createUpstreamInventory} from './upstream-inventory';
import type {UpstreamInventory} from './upstream-inventory';

/** What `createPlacementController` needs. */
export interface PlacementControllerOptions {
  control: UpstreamControl;
  clock: Clock;
  logger: Logger;
  /** Name of this host, sent with each order. */
  holder: string;
  /** Fencing token while this gateway may send orders, else undefined. */
  getToken(nowMs: number): number | undefined;
  /** Called when an upstream has seen a higher fencing token. */
  onFenced(): void;
  /** Called when another upstream has the address of this one. */
  onEnded(upstream: Upstream): void;
  /** Called when the inventory of an upstream has changed. */
  onChange(): void;
  /** Open requests that one replica of a model serves without slowing down. */
  openPerCopy: number;
  /**
   * Longest time from the news to a gateway that a model or an adapter is there
   * until the request that it sends then is included in `PlacementInput.open`,
   * in milliseconds.
   */
  getOpenReportDelayMs(): number;
}

/** Upstreams and traffic that placement changes are planned from. */
export interface PlacementInput {
  engine: EngineSpec;
  /** Upstreams of the engine's service. */
  upstreams: readonly Upstream[];
  demand: readonly ModelDemand[];
  /** Upstreams that refuse connections. */
  unreachableIds: ReadonlySet<string>;
  /** Open requests by upstream and by model or `model/adapter`. */
  open: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

/** Plans and sends the orders to the upstreams of one service. */
export interface PlacementController {
  /** Requests due reports and starts the planned placement changes. */
  tick(input: PlacementInput, nowMs: number): void;
  /**
   * Resolves to the time until the adapter is present, in milliseconds, or to
   * undefined if it cannot be loaded.
   */
  loadAdapter(
    upstreamId: string,
    model: string,
    adapter: string,
  ): Promise<number | undefined>;
  summarize(nowMs: number): UpstreamSummary[];
  /** Discards all inventories, for use after another gateway sent orders. */
  reset(): void;
}

/** Time between reports of an upstream without a running change. */
const REPORT_PERIOD_MS = 1_000;
/** Time between reports while the inventory is unconfirmed. */
const RECOVERY_PERIOD_MS = 250;
/** Time between reports of an upstream whose load should have ended. */
const COMPLETION_POLL_MS = 150;
/** Multiple of its expected duration after which a load counts as failed. */
const LOAD_TIMEOUT_FACTOR = 3;
/**
 * Longest time to retry an order while the upstream first finishes the requests
 * that use a model to unload, in milliseconds.
 */
const UNLOAD_MAX_WAIT_MS = 4_000;
/**
 * A release is taken to be over this long after the last upstream joined.
 * Upstreams of a release follow each other within about a second, and each takes
 * a second or two to start.
 */
const RELEASE_SETTLE_MS = 5_000;
/** Time for all gateways to learn of an eviction before the unload order. */
const EVICTION_NOTICE_MS = 25;

/** Creates a controller without upstreams; `tick` supplies them. */
export function createPlacementController(
  options: PlacementControllerOptions,
): PlacementController {
  const {clock, logger} = options;
  let inventories = new Map<string, UpstreamInventory>();
  const sender = createOrderSender({
    ...options,
    isCurrent: inventory =>
      inventories.get(inventory.upstream.id) === inventory,
  });
  const lastVersions = new Map<string, string>();
  const budget = createLoadBudget();
  const unplacedModelLog = createUnplacedModelLog(logger);
  const reading = new Set<UpstreamInventory>();
  const failingIds = new Set<string>();
  let lastInput: PlacementInput | undefined;
  /** When an upstream that was not there before joined, restarts left out. */
  let joinedAtMs = -Infinity;
  const adapterLoader = createAdapterLoader({
    sender,
    clock,
    getOpenReportDelayMs: options.getOpenReportDelayMs,
    getAdapterSlots: () => lastInput?.engine.adapterSlots ?? 0,
    isInUse: (inventory, key) =>
      (lastInput?.open.get(inventory.upstream.id)?.get(key) ?? 0) > 0,
    onChange: options.onChange,
  });

  const syncInventories = (
    upstreams: readonly Upstream[],
    nowMs: number,
  ): void => {
    const next = new Map<string, UpstreamInventory>();
    for (const upstream of upstreams) {
      const known = inventories.get(upstream.id);
      const isSame = known?.upstream.startedAtMs === upstream.startedAtMs;
      if (known !== undefined && isSame) {
        known.applyRegistration(upstream, nowMs);
        next.set(upstream.id, known);
      } else {
        if (known === undefined) joinedAtMs = nowMs;
        next.set(upstream.id, createUpstreamInventory(upstream, nowMs));
      }
    }
    inventories = next;
    for (const {models, upstream} of next.values()) {
      for (const model of models.keys()) {
        lastVersions.set(model, upstream.softwareVersion);
      }
    }
  };

  const readReport = async (inventory: UpstreamInventory): Promise<void> => {
    if (reading.has(inventory)) return;
    reading.add(inventory);
    const {id} = inventory.upstream;
    const failure = await sender.refresh(inventory);
    reading.delete(inventory);
    if (failure === undefined && failingIds.delete(id))
      logger.log(REPORT_RECOVERED, {upstream: id});
    if (failure !== undefined && !failingIds.has(id)) {
      failingIds.add(id);
      logger.log(REPORT_FAILED, {upstream: id, reason: failure.reason});
    }
    options.onChange();
  };

  /** Whether streams wait for a model at a version though it is held there. */
  const isDoubted = (
    {upstream, models}: UpstreamInventory,
    demand: readonly ModelDemand[],
  ): boolean =>
    demand.some(
      ({model, waitingByVersion}) =>
        waitingByVersion.has(upstream.softwareVersion) && models.has(model),
    );

  const readDueReports = (
    demand: readonly ModelDemand[],
    nowMs: number,
  ): void => {
    for (const inventory of inventories.values()) {
      if (!inventory.isReady()) continue;
      const isComplete = inventory.isConfirmed && inventory.areCopiesKnown();
      const periodMs = isComplete ? REPORT_PERIOD_MS : RECOVERY_PERIOD_MS;
      const isDue =
        isDoubted(inventory, demand) ||
        nowMs - inventory.reportAtMs >= periodMs;
      if (!isDue || inventory.isChanging) continue;
      void readReport(inventory);
    }
  };

  const waitForModel = async (
    inventory: UpstreamInventory,
    model: string,
    loadMs: number,
  ): Promise<boolean> => {
    const startedAtMs = clock.getNowMs();
    const dueAtMs = startedAtMs + loadMs;
    while (dueAtMs - clock.getNowMs() > REPORT_PERIOD_MS) {
      await clock.waitMs(REPORT_PERIOD_MS);
      if (inventories.get(inventory.upstream.id) !== inventory) return false;
      await sender.refresh(inventory);
    }
    await clock.waitMs(Math.max(0, dueAtMs - clock.getNowMs()));
    const endsAtMs =
      startedAtMs + loadMs * LOAD_TIMEOUT_FACTOR + COMPLETION_POLL_MS;
    while (clock.getNowMs() < endsAtMs) {
      if (inventories.get(inventory.upstream.id) !== inventory) return false;
      await sender.refresh(inventory);
      const isHeld = inventory.report?.models.some(({name}) => name === model);
      if (isHeld === true) return true;
      await clock.waitMs(COMPLETION_POLL_MS);
    }
    return false;
  };

  const evict = async (
    inventory: UpstreamInventory,
    models: readonly string[],
  ): Promise<boolean> => {
    if (models.length === 0) return true;
    const nowMs = clock.getNowMs();
    for (const model of models) {
      inventory.setModel(model, ResidencyState.Leaving, nowMs);
    }
    options.onChange();
    await clock.waitMs(EVICTION_NOTICE_MS);
    for (const model of models) {
      const isSent = await sender.send(inventory, {
        operation: OrderOperation.Unload,
        model,
        adapter: undefined,
        maxWaitMs: UNLOAD_MAX_WAIT_MS,
        mayBeBusy: model !== models[0],
      });
      if (!isSent) return false;
    }
    return true;
  };

  const load = async (
    inventory: UpstreamInventory,
    change: PlacementChange,
    loadMs: number,
    reservation: LoadReservation | undefined,
  ): Promise<boolean> => {
    const isSent = await sender.send(inventory, {
      operation: OrderOperation.Load,
      model: change.load,
      adapter: undefined,
      maxWaitMs: UNLOAD_MAX_WAIT_MS,
      mayBeBusy: change.evict.length > 0,
    });
    const nowMs = clock.getNowMs();
    // An order without a response may have begun a load as well.
    reservation?.begin(nowMs);
    if (!isSent) return false;
    // The upstream runs one order at a time, so the unloads have ended.
    for (const model of change.evict)
      inventory.setModel(model, undefined, nowMs);
    inventory.setModel(
      change.load,
      ResidencyState.Arriving,
      nowMs,
      nowMs + loadMs,
    );
    options.onChange();
    return waitForModel(inventory, change.load, loadMs);
  };

  const runPlacementChange = async (
    inventory: UpstreamInventory,
    change: PlacementChange,
    loadMs: number,
    reservation: LoadReservation | undefined,
  ): Promise<void> => {
    const startedAtMs = clock.getNowMs();
    inventory.isChanging = true;
    inventory.setModel(
      change.load,
      ResidencyState.Arriving,
      startedAtMs,
      Infinity,
    );
    logger.log(PLACEMENT_CHANGE_STARTED, {
      upstream: change.upstream,
      softwareVersion: inventory.upstream.softwareVersion,
      load: change.load,
      evict: change.evict.join(','),
      gain: Math.round(change.gain * 100) / 100,
      isStoreLoad: change.isStoreLoad,
      expectedMs: Math.round(loadMs),
    });
    const isEvicted = await evict(inventory, change.evict);
    const isLoaded =
      isEvicted && (await load(inventory, change, loadMs, reservation));
    reservation?.cancel();
    const nowMs = clock.getNowMs();
    inventory.recordCopies(change.load, nowMs);
    if (isLoaded) {
      inventory.setModel(change.load, ResidencyState.Present, nowMs);
      options.onChange();
    }
    inventory.isChanging = false;
    // After a failure only a report can confirm the inventory.
    if (!isLoaded) inventory.isConfirmed = false;
    logger.log(PLACEMENT_CHANGE_ENDED, {
      upstream: change.upstream,
      load: change.load,
      isLoaded,
      tookMs: Math.round(nowMs - startedAtMs),
    });
    await readReport(inventory);
  };

  const startPlacementChanges = (
    input: PlacementInput,
    nowMs: number,
  ): void => {
    if (options.getToken(nowMs) === undefined) return;
    const {engine} = input;
    const openReportDelayMs = options.getOpenReportDelayMs();
    const ready = [...inventories.values()].filter(inventory =>
      inventory.isReady(),
    );
    const silentIds = ready
      .filter(inventory => inventory.isSilent(nowMs))
      .map(({upstream}) => upstream.id);
    const {changes, unplaced} = planPlacementChanges({
      upstreams: filterReachable(
        ready.map(inventory =>
          describeInventory(inventory, {...input, openReportDelayMs}, nowMs),
        ),
        new Set([...input.unreachableIds, ...silentIds]),
      ),
      models: engine.models,
      demand: input.demand,
      openPerCopy: options.openPerCopy,
      lastVersions,
      storeLoadsLeft: budget.countLeft(engine, nowMs),
      storeLoadsLeftForStreams: budget.countLeftForStreams(engine, nowMs),
      isReleaseRunning: nowMs - joinedAtMs < RELEASE_SETTLE_MS,
    });
    unplacedModelLog.log(unplaced, nowMs);
    for (const change of changes) {
      const inventory = inventories.get(change.upstream);
      if (inventory === undefined) continue;
      const loadMs = estimateLoadMs(inventory, engine, change.load);
      const reservation = change.isStoreLoad
        ? budget.reserve(loadMs)
        : undefined;
      void runPlacementChange(inventory, change, loadMs, reservation);
    }
  };

  const markAllLoadedAdapters = (nowMs: number): void => {
    for (const inventory of inventories.values())
      markLoadedAdapters(inventory, nowMs);
  };

  const recordAdapterUse = (input: PlacementInput, nowMs: number): void => {
    for (const inventory of inventories.values()) {
      for (const key of input.open.get(inventory.upstream.id)?.keys() ?? []) {
        const adapter = inventory.adapters.get(key);
        if (adapter !== undefined) adapter.lastUsedAtMs = nowMs;
      }
    }
  };

  return {
    tick: (input, nowMs) => {
      lastInput = input;
      syncInventories(input.upstreams, nowMs);
      markAllLoadedAdapters(nowMs);
      recordAdapterUse(input, nowMs);
      readDueReports(input.demand, nowMs);
      startPlacementChanges(input, nowMs);
    },
    loadAdapter: (upstreamId, model, adapter) => {
      const inventory = inventories.get(upstreamId);
      if (inventory === undefined) return Promise.resolve(undefined);
      return adapterLoader.load(inventory, model, adapter);
    },
    summarize: nowMs => {
      markAllLoadedAdapters(nowMs);
      const all = [...inventories.values()];
      const versions = new Set(
        all.map(({upstream}) => upstream.softwareVersion),
      );
      const engine = versions.size > 1 ? lastInput?.engine : undefined;
      return all.map(inventory => summarizeInventory(inventory, engine, nowMs));
    },
    reset: () => {
      inventories = new Map();
      lastInput = undefined;
    },
  };
}
