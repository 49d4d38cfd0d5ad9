/**
 * Time source of a process. Functions that make decisions receive the time as
 * an argument instead of reading a clock.
 */

/** Handle of a scheduled callback. */
export interface Timer {
  /** Stops the timer; calling it again has no effect. */
  cancel(): void;
}

/** Time source and timers of one process. */
export interface Clock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  getNowMs(): number;
  /** Monotonic time at the start of the process, in milliseconds. */
  getStartedMs(): number;
  /** Wall-clock time in milliseconds since the Unix epoch; only for records. */
  getWallMs(): number;
  /** Runs `callback` once after `delayMs` milliseconds, at most 24 days. */
  startTimer(delayMs: number, callback: () => void): Timer;
  /** Runs `callback` every `periodMs` milliseconds. */
  startInterval(periodMs: number, callback: () => void): Timer;
  /** Resolves after `delayMs` milliseconds. */
  waitMs(delayMs: number): Promise<void>;
}

/** Longest delay of a timer in Node.js, which runs longer ones at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

function truncateDelay(delayMs: number): number {
  return Math.min(delayMs, MAX_DELAY_MS);
}

/** Creates a system clock. Its intervals do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    getNowMs: () => performance.now(),
    // performance.now() counts from the start of the process.
    getStartedMs: () => 0,
    getWallMs: () => Date.now(),
    startTimer: (delayMs, callback) => {
      const handle = setTimeout(callback, truncateDelay(delayMs));
      return {cancel: () => clearTimeout(handle)};
    },
    startInterval: (periodMs, callback) => {
      const handle = setInterval(callback, truncateDelay(periodMs));
      handle.unref();
      return {cancel: () => clearInterval(handle)};
    },
    waitMs: delayMs =>
      new Promise(resolve => setTimeout(resolve, truncateDelay(delayMs))),
  };
}

interface ScheduledCallback {
  dueMs: number;
  periodMs: number | undefined;
  callback: () => void;
}

/** A clock that advances only in `runFor`; for tests and simulations. */
export interface ManualClock extends Clock {
  /** Advances by `durationMs`, running due callbacks in order of due time. */
  runFor(durationMs: number): void;
}

/** Creates a manual clock that starts at `startMs`. */
export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  const scheduled = new Set<ScheduledCallback>();
  const schedule = (entry: ScheduledCallback): Timer => {
    scheduled.add(entry);
    return {cancel: () => void scheduled.delete(entry)};
  };
  const findNext = (untilMs: number): ScheduledCallback | undefined => {
    let next: ScheduledCallback | undefined;
    for (const entry of scheduled) {
      if (entry.dueMs > untilMs) continue;
      if (next === undefined || entry.dueMs < next.dueMs) next = entry;
    }
    return next;
  };
  const startTimer = (delayMs: number, callback: () => void): Timer =>
    schedule({dueMs: nowMs + delayMs, periodMs: undefined, callback});
  return {
    getNowMs: () => nowMs,
    getStartedMs: () => startMs,
    getWallMs: () => nowMs,
    startTimer,
    startInterval: (periodMs, callback) =>
      schedule({dueMs: nowMs + periodMs, periodMs, callback}),
    waitMs: delayMs =>
      new Promise(resolve => void startTimer(delayMs, resolve)),
    runFor: durationMs => {
      const untilMs = nowMs + durationMs;
      for (;;) {
        const next = findNext(untilMs);
        if (next === undefined) break;
        nowMs = Math.max(nowMs, next.dueMs);
        if (next.periodMs === undefined) scheduled.delete(next);
        else next.dueMs += next.periodMs;
        next.callback();
      }
      nowMs = untilMs;
    },
  };
}
