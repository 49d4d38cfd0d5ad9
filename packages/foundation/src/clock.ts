/** The one source of time. Deciding functions receive its readings as arguments. */

/** Handle of a scheduled callback. */
export interface Timer {
  /** Stops the timer; calling it again has no effect. */
  cancel(): void;
}

/** Readings and timers of one process. */
export interface Clock {
  /** Monotonic time in milliseconds; only differences have a meaning. */
  getNowMs(): number;
  /** Reading of the monotonic time at the start of the process. */
  getStartedMs(): number;
  /** Wall-clock time in milliseconds since the Unix epoch, for records only. */
  getWallMs(): number;
  /** Runs `callback` once after `delayMs` milliseconds. */
  startTimer(delayMs: number, callback: () => void): Timer;
  /** Runs `callback` every `periodMs` milliseconds. */
  startInterval(periodMs: number, callback: () => void): Timer;
  /** Resolves after `delayMs` milliseconds. */
  waitMs(delayMs: number): Promise<void>;
}

/** Creates the clock of a running process. Its timers do not keep it alive. */
export function createSystemClock(): Clock {
  return {
    getNowMs: () => performance.now(),
    // performance.now() counts from the start of the process.
    getStartedMs: () => 0,
    getWallMs: () => Date.now(),
    startTimer: (delayMs, callback) => {
      const handle = setTimeout(callback, delayMs);
      return {cancel: () => clearTimeout(handle)};
    },
    startInterval: (periodMs, callback) => {
      const handle = setInterval(callback, periodMs);
      handle.unref();
      return {cancel: () => clearInterval(handle)};
    },
    waitMs: delayMs => new Promise(resolve => setTimeout(resolve, delayMs)),
  };
}

interface ScheduledCallback {
  dueMs: number;
  periodMs: number | undefined;
  callback: () => void;
}

/** A clock that moves only when `runFor` is called; for tests and models. */
export interface ManualClock extends Clock {
  /** Advances by `durationMs`, running due callbacks in order of their time. */
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
