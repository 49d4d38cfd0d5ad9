/**
 * Memory ledger of one engine. Memory that was ordered or reported counts as
 * allocated until a report that followed one with the content no longer
 * contains it. The engine must execute copies of an order id only once.
 */
import {assertInvariant} from '@siskinplank/foundation';
import {ContentState, OrderType, formatContent, isLoad} from './types';
import type {
  EngineStatus,
  LedgerEntry,
  Order,
  PendingOrder,
  ReportOutcome,
} from './types';

/** Bounds of the ledger. */
export interface LedgerLimits {
  /** Memory kept free for the lag of reports. */
  marginMiB: number;
  /**
   * Longest lag of a report behind the engine's own clock. An accepted order
   * that has no visible effect after this time is dropped; nothing else is
   * decided by this bound.
   */
  maxReportLagMs: number;
}

/** Memory of one engine as its side process accounts for it. */
export interface MemoryLedger {
  /** Adds a new order and reserves its memory; false if a load does not fit. */
  addOrder(order: Order): boolean;
  /** Adds an order that a predecessor may have sent. */
  trackOrder(order: Order): void;
  /** Removes an order that was never sent; ignores settled orders. */
  cancelOrder(orderId: string): void;
  /** Changes the id of an order that was never sent; false if it is settled. */
  replaceOrderId(orderId: string, newId: string): boolean;
  /** Records that a copy is about to be sent; false if the order is settled. */
  recordSent(orderId: string, nowMs: number): boolean;
  recordAccepted(orderId: string): void;
  /** Records that the engine rejected a copy; true if the order is settled. */
  recordRejected(orderId: string): boolean;
  applyReport(status: EngineStatus, nowMs: number): ReportOutcome;
  getTotalMiB(): number;
  getAllocatedMiB(): number;
  getFreeMiB(): number;
  listEntries(): readonly Readonly<LedgerEntry>[];
  listPending(): readonly Readonly<PendingOrder>[];
}

const NO_CHANGE: ReportOutcome = {
  hasRestarted: false,
  resolved: [],
  failedLoads: [],
};

/** Creates a ledger that allows no loads before the first report. */
export function createMemoryLedger(limits: LedgerLimits): MemoryLedger {
  const entries = new Map<string, LedgerEntry>();
  const pending = new Map<string, PendingOrder>();
  const formerGenerations = new Set<string | number>();
  let last: EngineStatus | undefined;

  const getAllocatedMiB = (): number => {
    let countedMiB = 0;
    let unreportedMiB = 0;
    for (const entry of entries.values()) {
      countedMiB += entry.memoryMiB;
      if (entry.state === undefined) unreportedMiB += entry.memoryMiB;
    }
    return Math.max(countedMiB, (last?.usedMemoryMiB ?? 0) + unreportedMiB);
  };

  const getFreeMiB = (): number =>
    last === undefined
      ? 0
      : last.totalMemoryMiB - limits.marginMiB - getAllocatedMiB();

  const reserve = (order: Order): void => {
    const key = formatContent(order);
    const {model, version, adapter, memoryMiB} = order;
    const known = entries.get(key);
    if (known !== undefined) {
      known.memoryMiB = Math.max(known.memoryMiB, memoryMiB);
      return;
    }
    entries.set(key, {
      model,
      version,
      ...(adapter !== undefined && {adapter}),
      memoryMiB,
      state: undefined,
      loadedMs: undefined,
    });
  };

  const addPending = (order: Order, sentCopies: number): void =>
    void pending.set(order.orderId, {
      order,
      lastSentMs: undefined,
      sentCopies,
      acceptedEngineMs: undefined,
    });

  const releaseUnreported = (order: Order): void => {
    const key = formatContent(order);
    if (isLoad(order.type) && entries.get(key)?.state === undefined) {
      entries.delete(key);
    }
  };

  const applyItem = (
    item: {state: ContentState; memoryMiB: number},
    content: {model: string; version: string; adapter?: string},
    nowMs: number,
  ): string => {
    const key = formatContent(content);
    const known = entries.get(key);
    const isLoaded = item.state === ContentState.Loaded;
    entries.set(key, {
      ...content,
      version: known?.version ?? content.version,
      memoryMiB: Math.max(known?.memoryMiB ?? 0, item.memoryMiB),
      state: item.state,
      loadedMs: isLoaded ? (known?.loadedMs ?? nowMs) : undefined,
    });
    return key;
  };

  /** After a restart, only pending loads, which may still arrive, count. */
  const resetEntries = (): void => {
    entries.clear();
    for (const {order} of pending.values()) {
      if (isLoad(order.type)) reserve(order);
    }
  };

  const isEffectOverdue = (item: PendingOrder, status: EngineStatus): boolean =>
    item.acceptedEngineMs !== undefined &&
    status.reportedAtMs >= item.acceptedEngineMs + limits.maxReportLagMs;

  const settlePending = (
    status: EngineStatus,
  ): Pick<ReportOutcome, 'resolved' | 'failedLoads'> => {
    const resolved: Order[] = [];
    const failedLoads: Order[] = [];
    for (const [orderId, item] of pending) {
      const {order} = item;
      const entry = entries.get(formatContent(order));
      if (isLoad(order.type)) {
        const hasVanished = entry === undefined;
        const isLost =
          entry?.state === undefined &&
          !hasVanished &&
          isEffectOverdue(item, status);
        if (isLost) releaseUnreported(order);
        if (hasVanished || isLost) failedLoads.push(order);
        else if (entry?.state !== ContentState.Loaded) continue;
      } else if (entry !== undefined && !isEffectOverdue(item, status))
        continue;
      pending.delete(orderId);
      resolved.push(order);
    }
    return {resolved, failedLoads};
  };

  return {
    addOrder: order => {
      if (isLoad(order.type)) {
        if (order.memoryMiB > getFreeMiB()) return false;
        reserve(order);
      }
      addPending(order, 0);
      return true;
    },
    trackOrder: order => {
      if (pending.has(order.orderId)) return;
      if (isLoad(order.type)) reserve(order);
      // The predecessor may have sent it.
      addPending(order, 1);
    },
    cancelOrder: orderId => {
      const item = pending.get(orderId);
      if (item === undefined) return;
      assertInvariant(item.sentCopies === 0, 'a sent order is not cancelled');
      pending.delete(orderId);
      releaseUnreported(item.order);
    },
    replaceOrderId: (orderId, newId) => {
      const item = pending.get(orderId);
      if (item === undefined) return false;
      assertInvariant(item.sentCopies === 0, 'a sent order keeps its id');
      pending.delete(orderId);
      pending.set(newId, {...item, order: {...item.order, orderId: newId}});
      return true;
    },
    recordSent: (orderId, nowMs) => {
      const item = pending.get(orderId);
      if (item === undefined) return false;
      item.lastSentMs = nowMs;
      item.sentCopies += 1;
      return true;
    },
    recordAccepted: orderId => {
      const item = pending.get(orderId);
      if (item === undefined) return;
      item.acceptedEngineMs ??= last?.reportedAtMs;
    },
    recordRejected: orderId => {
      const item = pending.get(orderId);
      if (item === undefined) return true;
      // An earlier copy may still arrive, so its memory stays counted.
      if (item.sentCopies > 1) return false;
      pending.delete(orderId);
      releaseUnreported(item.order);
      return true;
    },
    applyReport: (status, nowMs) => {
      if (formerGenerations.has(status.generation)) return NO_CHANGE;
      const hasRestarted =
        last !== undefined && last.generation !== status.generation;
      if (last !== undefined && hasRestarted) {
        formerGenerations.add(last.generation);
        for (const item of pending.values()) {
          item.acceptedEngineMs = undefined;
          item.lastSentMs = undefined;
        }
        resetEntries();
      } else if (
        last !== undefined &&
        status.reportedAtMs < last.reportedAtMs
      ) {
        return NO_CHANGE;
      }
      last = status;
      const shown = new Set([
        ...status.models.map(item =>
          applyItem(item, {model: item.name, version: item.version}, nowMs),
        ),
        ...status.adapters.map(item =>
          applyItem(
            item,
            {model: item.model, version: '', adapter: item.name},
            nowMs,
          ),
        ),
      ]);
      for (const [key, entry] of entries) {
        if (!shown.has(key) && entry.state !== undefined) entries.delete(key);
      }
      return {hasRestarted, ...settlePending(status)};
    },
    getTotalMiB: () => last?.totalMemoryMiB ?? 0,
    getAllocatedMiB,
    getFreeMiB,
    listEntries: () => [...entries.values()],
    listPending: () => [...pending.values()],
  };
}

/** Type of the order that removes what `content` describes. */
export function getUnloadType(content: {adapter?: string}): OrderType {
  return content.adapter === undefined
    ? OrderType.UnloadModel
    : OrderType.UnloadAdapter;
}
