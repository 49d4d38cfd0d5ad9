/** Queue of both priority classes with limits, deadlines and load shedding. */
import {assertInvariant} from '@siskinplank/foundation';
import {formatTarget} from '../targets';
import {PriorityClass} from '@siskinplank/resources';
import {createClassQueue} from './class-queue';
import type {
  FairQueue,
  QueueItem,
  QueueLimits,
  QueueTotals,
  WaitingTarget,
} from './types';

/** Each eighth turn prefers an overnight request that has waited `agingMs`. */
const AGED_TURN_PERIOD = 8;

/** Creates an empty queue. */
export function createFairQueue(limits: QueueLimits): FairQueue {
  const classes = {
    [PriorityClass.Awaited]: createClassQueue(),
    [PriorityClass.Overnight]: createClassQueue(),
  };
  const items = new Map<string, QueueItem>();
  const tokensByAccount = new Map<string, number>();
  const totals: QueueTotals = {requests: 0, bytes: 0, tokens: 0};
  let turn = 0;

  const count = (item: QueueItem, sign: 1 | -1): void => {
    totals.requests += sign;
    totals.bytes += sign * item.bytes;
    totals.tokens += sign * item.tokens;
    const tokens =
      (tokensByAccount.get(item.account) ?? 0) + sign * item.tokens;
    if (tokens > 0) tokensByAccount.set(item.account, tokens);
    else tokensByAccount.delete(item.account);
    if (sign === 1) items.set(item.id, item);
    else items.delete(item.id);
  };

  const remove = (id: string): QueueItem | undefined => {
    const item = items.get(id);
    if (item === undefined) return undefined;
    classes[item.priority].remove(id);
    count(item, -1);
    return item;
  };

  const findVictim = (): QueueItem => {
    const overnight = classes[PriorityClass.Overnight];
    const source =
      overnight.listAccounts().length > 0
        ? overnight
        : classes[PriorityClass.Awaited];
    let victim: QueueItem | undefined;
    let victimExcess = -1;
    for (const account of source.listAccounts()) {
      const newest = source.getNewest(account);
      if (newest === undefined) continue;
      const excess = (tokensByAccount.get(account) ?? 0) / newest.weight;
      if (excess > victimExcess) {
        victim = newest;
        victimExcess = excess;
      }
    }
    assertInvariant(victim, 'a full queue holds an item');
    return victim;
  };

  const isOverfull = (): boolean =>
    totals.requests > limits.maxRequests || totals.bytes > limits.maxBytes;

  return {
    enqueue: item => {
      assertInvariant(!items.has(item.id), 'an attempt is queued once');
      // Otherwise one oversized request would cause all others to be shed.
      if (item.bytes > limits.maxBytes) return [item];
      classes[item.priority].push(item);
      count(item, 1);
      const shed: QueueItem[] = [];
      while (isOverfull()) {
        const victim = findVictim();
        remove(victim.id);
        shed.push(victim);
      }
      return shed;
    },
    dequeue: (nowMs, isReady) => {
      if (totals.requests === 0) return undefined;
      const readiness = new Map<string, boolean>();
      const canServe = (item: QueueItem): boolean => {
        if (item.deadlineAtMs <= nowMs) return false;
        const key = formatTarget(item.target);
        const known = readiness.get(key) ?? isReady(item.target);
        readiness.set(key, known);
        return known;
      };
      const isAged = (item: QueueItem): boolean =>
        nowMs - item.enqueuedMs >= limits.agingMs && canServe(item);
      const overnight = classes[PriorityClass.Overnight];
      const isAgedTurn = turn % AGED_TURN_PERIOD === AGED_TURN_PERIOD - 1;
      const item =
        (isAgedTurn ? overnight.pop(isAged) : undefined) ??
        classes[PriorityClass.Awaited].pop(canServe) ??
        overnight.pop(canServe);
      if (item === undefined) return undefined;
      turn += 1;
      count(item, -1);
      return item;
    },
    remove,
    expire: nowMs => {
      const expired = [...items.values()].filter(
        item => item.deadlineAtMs <= nowMs,
      );
      for (const item of expired) remove(item.id);
      return expired;
    },
    settle: (item, usedTokens) =>
      classes[item.priority].settle(item, usedTokens),
    listWaiting: () => {
      const waiting = new Map<string, WaitingTarget>();
      for (const item of items.values()) {
        const key = formatTarget(item.target);
        const known = waiting.get(key);
        waiting.set(key, {
          target: item.target,
          oldestMs: Math.min(known?.oldestMs ?? Infinity, item.enqueuedMs),
          deadlineAtMs: Math.min(
            known?.deadlineAtMs ?? Infinity,
            item.deadlineAtMs,
          ),
          requests: (known?.requests ?? 0) + 1,
        });
      }
      return [...waiting.values()].sort((a, b) => a.oldestMs - b.oldestMs);
    },
    listItems: () => [...items.values()],
    getTotals: () => ({...totals}),
  };
}
