/**
 * Manual clock over a binary heap. Foundation's manual clock searches all
 * timers for each step, which is too slow for thousands of processes.
 */
import type {Clock, Timer} from '@siskinplank/foundation';

interface Entry {
  dueMs: number;
  order: number;
  periodMs: number | undefined;
  callback: () => void;
  isCancelled: boolean;
}

/** Clock that moves only when `runFor` is called. */
export interface EventClock extends Clock {
  /** Runs what is due in the next `durationMs`. */
  runFor(durationMs: number): Promise<void>;
}

/** Time between two pauses that let promises settle. */
const SETTLE_STEP_MS = 5;

/** Creates a clock at 1,000 ms. */
export function createEventClock(): EventClock {
  let nowMs = 1_000;
  let order = 0;
  const heap: Entry[] = [];

  const isBefore = (a: Entry, b: Entry): boolean =>
    a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);

  const push = (entry: Entry): void => {
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(entry, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = entry;
  };

  const pop = (): Entry | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child += 1;
      }
      if (!isBefore(heap[child], last)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return first;
  };

  const schedule = (
    delayMs: number,
    periodMs: number | undefined,
    callback: () => void,
  ): Timer => {
    order += 1;
    const dueMs = nowMs + Math.max(0, delayMs);
    const entry = {dueMs, order, periodMs, callback, isCancelled: false};
    push(entry);
    return {
      cancel: () => {
        entry.isCancelled = true;
      },
    };
  };

  const runDue = (untilMs: number): void => {
    while (heap.length > 0 && heap[0].dueMs <= untilMs) {
      const entry = pop();
      if (entry === undefined) return;
      if (entry.isCancelled) continue;
      nowMs = Math.max(nowMs, entry.dueMs);
      if (entry.periodMs !== undefined) {
        order += 1;
        entry.dueMs += entry.periodMs;
        entry.order = order;
        push(entry);
      }
      entry.callback();
    }
    nowMs = untilMs;
  };

  const settle = (): Promise<void> =>
    new Promise(resolve => setImmediate(resolve));

  return {
    getStartedMs: () => 0,
    getNowMs: () => nowMs,
    getWallMs: () => 1_790_000_000_000 + nowMs,
    startTimer: (delayMs, callback) => schedule(delayMs, undefined, callback),
    startInterval: (periodMs, callback) =>
      schedule(periodMs, periodMs, callback),
    waitMs: delayMs =>
      new Promise(resolve => void schedule(delayMs, undefined, resolve)),
    runFor: async durationMs => {
      const endMs = nowMs + durationMs;
      while (nowMs < endMs) {
        runDue(Math.min(endMs, nowMs + SETTLE_STEP_MS));
        await settle();
      }
    },
  };
}
