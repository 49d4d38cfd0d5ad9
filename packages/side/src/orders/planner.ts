/** Decides which orders to give next; pure. */
import type {Adapter, Model} from '@siskinplank/resources';
import {getUnloadType} from '../memory/ledger';
import {ContentState, OrderType, formatContent, isLoad} from '../memory/types';
import type {Content, LedgerEntry, Order, PendingOrder} from '../memory/types';

/** A model or adapter with waiting requests. */
export interface WaitingContent {
  model: string;
  adapter?: string;
  oldestMs: number;
  /** Deadline that comes first; absent, the shortest patience applies. */
  deadlineAtMs?: number;
}

/** Requests that use a model or adapter. */
export interface ContentUse {
  running: number;
  queued: number;
  /** Hand-over time of the oldest running request. */
  oldestRunningMs: number;
  /** Tokens a second. */
  demand: number;
}

/** Everything that a plan is computed from. */
export interface PlanInput {
  entries: readonly Readonly<LedgerEntry>[];
  pending: readonly Readonly<PendingOrder>[];
  freeMiB: number;
  /** In order of age. */
  waiting: readonly WaitingContent[];
  placed: ReadonlyArray<{model: string; adapter?: string}>;
  getModel(name: string): Model | undefined;
  getAdapter(name: string): Adapter | undefined;
  getUse(model: string, adapter: string | undefined): ContentUse;
  /** Earliest time of the next load after failures. */
  getRetryAtMs(content: Content): number;
  makeOrderId(): string;
}

/** Orders to give now. */
export interface Plan {
  orders: readonly Order[];
  /** Content that takes no new requests until it is unloaded. */
  draining: ReadonlySet<string>;
}

/** Model loads at one engine; the weight store is shared and rate-limited. */
const MAX_MODEL_LOADS = 2;
/** Adapter loads slow each other down beyond this number. */
const MAX_ADAPTER_LOADS = 24;
/** Waiting time after which busy models make room for a waiting one. */
const PATIENCE_MS = 2_000;
/**
 * A request that has waited this share of its time gets room even at the
 * expense of models in demand. Sooner, cold models would evict hot ones all
 * the time; later, the load might not end before the deadline.
 */
const PATIENCE_SHARE = 0.5;
const MAX_PATIENCE_MS = 10_000;
/** Shortest residency of a busy model, so that models do not thrash. */
const MIN_RESIDENCY_MS = 3_000;

interface Need {
  content: Content;
  memoryMiB: number;
  /** Undefined for content that is placed but has no waiting request. */
  waitingSinceMs: number | undefined;
  /** Time from which busy models make room. */
  urgentAtMs: number;
}

interface Victim {
  entries: ReadonlyArray<Readonly<LedgerEntry>>;
  memoryMiB: number;
  isRunning: boolean;
  isIdle: boolean;
  isPlaced: boolean;
  demand: number;
  loadedMs: number;
}

/** Computes the orders to give now. */
export function planOrders(input: PlanInput, nowMs: number): Plan {
  const orders: Order[] = [];
  const draining = new Set<string>();
  const ordered = new Set(input.pending.map(({order}) => formatContent(order)));
  const known = new Map(
    input.entries.map(entry => [formatContent(entry), entry]),
  );
  // Reports lag, so content with an unload under way may still look loaded.
  for (const {order} of input.pending) {
    if (!isLoad(order.type)) draining.add(formatContent(order));
  }
  let freeMiB = input.freeMiB;
  let modelLoads = countLoads(input.pending, OrderType.LoadModel);
  let adapterLoads = countLoads(input.pending, OrderType.LoadAdapter);

  const isServed = (model: string): boolean =>
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

  /** Frees memory for a need; busy models are drained when it has waited. */
  const makeRoom = (need: Need): void => {
    const {waitingSinceMs} = need;
    const isWaiting = waitingSinceMs !== undefined;
    const isPatient = nowMs < need.urgentAtMs;
    const {model, adapter} = need.content;
    const needDemand = input.getUse(model, adapter).demand;
    const leavingMiB = input.pending
      .filter(({order}) => !isLoad(order.type))
      .reduce((sum, {order}) => sum + order.memoryMiB, 0);
    let missingMiB = need.memoryMiB - freeMiB - leavingMiB;
    const chosen: Victim[] = [];
    for (const victim of listVictims(need)) {
      if (missingMiB <= 0) break;
      const isResident = nowMs - victim.loadedMs >= MIN_RESIDENCY_MS;
      const isReplaced = victim.entries.some(
        entry => entry.model === need.content.model && isOutdated(entry),
      );
      const mayDrain = isReplaced || (isWaiting && !isPatient && isResident);
      // A model in demand is idle for moments, too.
      const isInDemand = isWaiting && victim.demand > needDemand;
      if ((!victim.isIdle || isInDemand) && !mayDrain) continue;
      if (victim.isPlaced && !isWaiting) continue;
      // An adapter goes with its model, so it must not be counted twice.
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
      // Small content chosen first may not be needed beside a later model.
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

  removeOutdated(input, isServed, addUnload, draining);
  for (const need of listNeeds(input)) {
    const key = formatContent(need.content);
    if (known.has(key) || ordered.has(key)) continue;
    if (input.getRetryAtMs(need.content) > nowMs) continue;
    const {adapter, model} = need.content;
    if (adapter !== undefined && !isServed(model)) continue;
    if (need.memoryMiB <= freeMiB) {
      addLoad(need);
      continue;
    }
    makeRoom(need);
    // What becomes free is kept for the oldest waiting request.
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

function computeUrgentMs({oldestMs, deadlineAtMs}: WaitingContent): number {
  const timeMs = (deadlineAtMs ?? oldestMs) - oldestMs;
  const patienceMs = Math.min(MAX_PATIENCE_MS, timeMs * PATIENCE_SHARE);
  return oldestMs + Math.max(PATIENCE_MS, patienceMs);
}

/** Needs in order: waiting requests by age, then new versions, then placed. */
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
    const urgentAtMs = computeUrgentMs(waiting);
    // A loaded older version serves until the new one is there.
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
function removeOutdated(
  input: PlanInput,
  isServed: (model: string) => boolean,
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
      // An adapter loads within milliseconds, so its requests wait for it.
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
    if (successor?.loadedMs === undefined || !isServed(entry.model)) continue;
    // Requests that began before the new version was there may use the old.
    const isInUse =
      use.running > 0 && use.oldestRunningMs <= successor.loadedMs;
    if (!isInUse) addUnload(entry);
  }
}
