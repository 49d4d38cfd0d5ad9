/** Plans the next orders from the state of the engine; has no side effects. */
import type {Adapter, Model} from '@siskinplank/resources';
import {getUnloadType} from '../memory/ledger';
import {ContentState, OrderType, formatContent, isLoad} from '../memory/types';
import type {Content, LedgerEntry, Order, PendingOrder} from '../memory/types';

/** A model or adapter with waiting requests. */
export interface WaitingContent {
  model: string;
  adapter?: string;
  oldestMs: number;
  /** Earliest deadline; without it, `MIN_DRAIN_WAIT_MS` applies. */
  deadlineAtMs?: number;
}

/** Requests that use a model or adapter. */
export interface ContentUse {
  running: number;
  queued: number;
  /** Hand-over time of the oldest running request. */
  oldestRunningMs: number;
  /** Tokens per second. */
  demand: number;
}

/** Input of `planOrders`. */
export interface PlanInput {
  entries: readonly Readonly<LedgerEntry>[];
  pending: readonly Readonly<PendingOrder>[];
  freeMiB: number;
  /** Oldest request first. */
  waiting: readonly WaitingContent[];
  placed: ReadonlyArray<{model: string; adapter?: string}>;
  getModel(name: string): Model | undefined;
  getAdapter(name: string): Adapter | undefined;
  getUse(model: string, adapter: string | undefined): ContentUse;
  /** Earliest time for the next load after failed ones. */
  getRetryAtMs(content: Content): number;
  makeOrderId(): string;
}

/** Orders to send now. */
export interface Plan {
  orders: readonly Order[];
  /** Content that takes no new requests until it is unloaded. */
  draining: ReadonlySet<string>;
}

/** Concurrent model loads; all engines share the rate-limited weight store. */
const MAX_MODEL_LOADS = 2;
/** Concurrent adapter loads; more of them slow each other down. */
const MAX_ADAPTER_LOADS = 24;
/** Shortest waiting time before a busy model is drained for a waiting one. */
const MIN_DRAIN_WAIT_MS = 2_000;
/**
 * Fraction of the time between arrival and deadline after which a waiting
 * request may evict models with higher demand. With a lower value, rarely used
 * models would constantly evict popular ones; with a higher one, the load might
 * not finish before the deadline.
 */
const DRAIN_WAIT_FRACTION = 0.5;
const MAX_DRAIN_WAIT_MS = 10_000;
/** Minimum time that a busy model stays loaded; prevents thrashing. */
const MIN_RESIDENCY_MS = 3_000;

/** Content that should be loaded. */
interface Need {
  content: Content;
  memoryMiB: number;
  /** Undefined unless a request has to wait for this load. */
  waitingSinceMs: number | undefined;
  /** Time from which busy models may be drained for it. */
  urgentAtMs: number;
}

/** Candidate for eviction: a model with its adapters, or one adapter. */
interface Victim {
  entries: ReadonlyArray<Readonly<LedgerEntry>>;
  memoryMiB: number;
  isRunning: boolean;
  isIdle: boolean;
  isPlaced: boolean;
  demand: number;
  loadedMs: number;
}

/** Computes the orders to send now. */
export function planOrders(input: PlanInput, nowMs: number): Plan {
  const orders: Order[] = [];
  const draining = new Set<string>();
  const ordered = new Set(input.pending.map(({order}) => formatContent(order)));
  const known = new Map(
    input.entries.map(entry => [formatContent(entry), entry]),
  );
  // Reports lag, so content with a pending unload may still be reported as
  // loaded.
  for (const {order} of input.pending) {
    if (!isLoad(order.type)) draining.add(formatContent(order));
  }
  let freeMiB = input.freeMiB;
  let modelLoads = countLoads(input.pending, OrderType.LoadModel);
  let adapterLoads = countLoads(input.pending, OrderType.LoadAdapter);

  const isModelLoaded = (model: string): boolean =>
    input.entries.some(
      entry =>
        entry.model === model &&
        entry.adapter === undefined &&
        entry.state === ContentState.Loaded,
    );

  const addUnload = (entry: Readonly<LedgerEntry>): void => {
    const key = formatContent(entry);
    draining.add(key);
    if (ordered.has(key)) return;
    ordered.add(key);
    const {model, version, adapter, memoryMiB} = entry;
    orders.push({
      orderId: input.makeOrderId(),
      type: getUnloadType(entry),
      model,
      version,
      ...(adapter !== undefined && {adapter}),
      memoryMiB,
    });
  };

  const addLoad = (need: Need): boolean => {
    const isModel = need.content.adapter === undefined;
    if (isModel && modelLoads >= MAX_MODEL_LOADS) return false;
    if (!isModel && adapterLoads >= MAX_ADAPTER_LOADS) return false;
    if (isModel) modelLoads += 1;
    else adapterLoads += 1;
    freeMiB -= need.memoryMiB;
    ordered.add(formatContent(need.content));
    orders.push({
      orderId: input.makeOrderId(),
      type: isModel ? OrderType.LoadModel : OrderType.LoadAdapter,
      ...need.content,
      memoryMiB: need.memoryMiB,
    });
    return true;
  };

  const isOutdated = (entry: Readonly<LedgerEntry>): boolean =>
    entry.adapter === undefined &&
    input.getModel(entry.model)?.version !== entry.version;

  const makeVictim = (entry: Readonly<LedgerEntry>): Victim => {
    const group = [
      ...input.entries.filter(
        other =>
          entry.adapter === undefined &&
          other.adapter !== undefined &&
          other.model === entry.model,
      ),
      entry,
    ];
    const use = input.getUse(entry.model, entry.adapter);
    return {
      entries: group,
      memoryMiB: group.reduce((sum, {memoryMiB}) => sum + memoryMiB, 0),
      isRunning: use.running > 0,
      isIdle: use.running === 0 && use.queued === 0,
      isPlaced:
        !isOutdated(entry) &&
        input.placed.some(
          ({model, adapter}) =>
            model === entry.model && adapter === entry.adapter,
        ),
      demand: use.demand,
      loadedMs: entry.loadedMs ?? nowMs,
    };
  };

  const listVictims = (need: Need): readonly Victim[] =>
    input.entries
      .filter(
        entry =>
          entry.state === ContentState.Loaded &&
          !ordered.has(formatContent(entry)) &&
          (need.content.adapter === undefined ||
            entry.adapter !== undefined ||
            entry.model !== need.content.model),
      )
      .map(makeVictim)
      .sort(
        (a, b) =>
          Number(b.isIdle) - Number(a.isIdle) ||
          Number(a.isPlaced) - Number(b.isPlaced) ||
          a.demand - b.demand ||
          a.loadedMs - b.loadedMs,
      );

  /** Plans unloads for a need; busy models are drained once it is urgent. */
  const planEvictions = (need: Need): void => {
    const {waitingSinceMs} = need;
    const isWaiting = waitingSinceMs !== undefined;
    const isBeforeUrgent = nowMs < need.urgentAtMs;
    const {model, adapter} = need.content;
    const needDemand = input.getUse(model, adapter).demand;
    const unloadingMiB = input.pending
      .filter(({order}) => !isLoad(order.type))
      .reduce((sum, {order}) => sum + order.memoryMiB, 0);
    let missingMiB = need.memoryMiB - freeMiB - unloadingMiB;
    const chosen: Victim[] = [];
    for (const victim of listVictims(need)) {
      if (missingMiB <= 0) break;
      const hasMinResidency = nowMs - victim.loadedMs >= MIN_RESIDENCY_MS;
      const isReplaced = victim.entries.some(
        entry => entry.model === need.content.model && isOutdated(entry),
      );
      const mayDrain =
        isReplaced || (isWaiting && !isBeforeUrgent && hasMinResidency);
      // A model with demand may be idle for a moment; it is kept all the same.
      const isInDemand = isWaiting && victim.demand > needDemand;
      if ((!victim.isIdle || isInDemand) && !mayDrain) continue;
      if (victim.isPlaced && !isWaiting) continue;
      // An adapter is unloaded with its model, so it must not count twice.
      const isCovered = chosen.some(other =>
        victim.entries.every(entry => other.entries.includes(entry)),
      );
      if (isCovered) continue;
      for (const other of [...chosen]) {
        if (!other.entries.every(entry => victim.entries.includes(entry))) {
          continue;
        }
        chosen.splice(chosen.indexOf(other), 1);
        missingMiB += other.memoryMiB;
      }
      chosen.push(victim);
      missingMiB -= victim.memoryMiB;
    }
    if (missingMiB > 0) return;
    for (const victim of [...chosen]) {
      // Content chosen earlier may be superfluous beside a larger model.
      if (missingMiB + victim.memoryMiB > 0) continue;
      chosen.splice(chosen.indexOf(victim), 1);
      missingMiB += victim.memoryMiB;
    }
    for (const victim of chosen) {
      for (const entry of victim.entries) {
        if (victim.isRunning) draining.add(formatContent(entry));
        else addUnload(entry);
      }
    }
  };

  evictOutdated(input, isModelLoaded, addUnload, draining);
  for (const need of listNeeds(input)) {
    const key = formatContent(need.content);
    if (known.has(key) || ordered.has(key)) continue;
    if (input.getRetryAtMs(need.content) > nowMs) continue;
    const {adapter, model} = need.content;
    if (adapter !== undefined && !isModelLoaded(model)) continue;
    if (need.memoryMiB <= freeMiB) {
      addLoad(need);
      continue;
    }
    planEvictions(need);
    // Memory that becomes free is reserved for the oldest waiting request.
    if (need.waitingSinceMs !== undefined) break;
  }
  return {orders, draining};
}

function countLoads(
  pending: readonly Readonly<PendingOrder>[],
  type: OrderType,
): number {
  return pending.filter(({order}) => order.type === type).length;
}

function computeUrgentAtMs({oldestMs, deadlineAtMs}: WaitingContent): number {
  const allowedMs = (deadlineAtMs ?? oldestMs) - oldestMs;
  const drainWaitMs = Math.min(
    MAX_DRAIN_WAIT_MS,
    allowedMs * DRAIN_WAIT_FRACTION,
  );
  return oldestMs + Math.max(MIN_DRAIN_WAIT_MS, drainWaitMs);
}

/**
 * Lists needs in order of priority: waiting requests by age, new versions of
 * resident models, then the placement.
 */
function listNeeds(input: PlanInput): readonly Need[] {
  const needs: Need[] = [];
  const addNeed = (
    modelName: string,
    adapterName: string | undefined,
    waitingSinceMs: number | undefined,
    urgentAtMs: number,
  ): void => {
    const model = input.getModel(modelName);
    if (model === undefined) return;
    const {version, memoryMiB} = model;
    const content = {model: modelName, version};
    needs.push({content, memoryMiB, waitingSinceMs, urgentAtMs});
    if (adapterName === undefined) return;
    const adapter = input.getAdapter(adapterName);
    if (adapter === undefined) return;
    needs.push({
      content: {...content, adapter: adapterName, version: adapter.version},
      memoryMiB: adapter.memoryMiB,
      waitingSinceMs,
      urgentAtMs,
    });
  };
  const isLoadedAnyVersion = (name: string): boolean =>
    input.entries.some(
      entry =>
        entry.model === name &&
        entry.adapter === undefined &&
        entry.state === ContentState.Loaded,
    );
  for (const waiting of input.waiting) {
    const {model, adapter, oldestMs} = waiting;
    const urgentAtMs = computeUrgentAtMs(waiting);
    // A loaded older version serves requests until the new one is loaded.
    const waitingSinceMs = isLoadedAnyVersion(model) ? undefined : oldestMs;
    if (adapter === undefined) {
      addNeed(model, undefined, waitingSinceMs, urgentAtMs);
    } else {
      addNeed(model, undefined, waitingSinceMs, urgentAtMs);
      const need = input.getAdapter(adapter);
      if (need === undefined) continue;
      needs.push({
        content: {model, adapter, version: need.version},
        memoryMiB: need.memoryMiB,
        waitingSinceMs: oldestMs,
        urgentAtMs,
      });
    }
  }
  for (const entry of input.entries) {
    if (entry.adapter === undefined) {
      addNeed(entry.model, undefined, undefined, Infinity);
    }
  }
  for (const {model, adapter} of input.placed) {
    addNeed(model, adapter, undefined, Infinity);
  }
  return needs;
}

/** Unloads versions that the configuration has replaced. */
function evictOutdated(
  input: PlanInput,
  isModelLoaded: (model: string) => boolean,
  addUnload: (entry: Readonly<LedgerEntry>) => void,
  draining: Set<string>,
): void {
  for (const entry of input.entries) {
    if (entry.state !== ContentState.Loaded) continue;
    const use = input.getUse(entry.model, entry.adapter);
    if (entry.adapter !== undefined) {
      const adapter = input.getAdapter(entry.adapter);
      const isUnknown = entry.version === '' || adapter === undefined;
      if (isUnknown || adapter.version === entry.version) continue;
      // An adapter loads within milliseconds, so its requests wait for the new
      // version.
      draining.add(formatContent(entry));
      if (use.running === 0) addUnload(entry);
      continue;
    }
    const model = input.getModel(entry.model);
    if (model === undefined || model.version === entry.version) continue;
    const successor = input.entries.find(
      other =>
        other.adapter === undefined &&
        other.model === entry.model &&
        other.version === model.version &&
        other.state === ContentState.Loaded,
    );
    if (successor?.loadedMs === undefined || !isModelLoaded(entry.model))
      continue;
    // Requests that started before the new version was loaded may still use
    // the old one.
    const isInUse =
      use.running > 0 && use.oldestRunningMs <= successor.loadedMs;
    if (!isInUse) addUnload(entry);
  }
}
