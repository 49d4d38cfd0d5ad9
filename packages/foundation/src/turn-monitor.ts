/**
 * Tracks turns of the event loop. Input that arrives while a turn runs, or
 * while the process is stopped by a signal, is read only in the next turn, so
 * the time at which it is read says little about its arrival.
 */
import type {Clock, Timer} from './clock';

/** Observes the turns of one event loop. */
export interface TurnMonitor {
  /**
   * Records that code runs at `nowMs`; cheap. To be called before input of any
   * kind is handled.
   */
  observe(nowMs: number): void;
  /**
   * Earliest time at which input that is read at `nowMs` may have arrived. This
   * is `nowMs` unless the event loop was late.
   */
  getEarliestArrivalMs(nowMs: number): number;
  /** Longest time between two turns since the last call, in milliseconds. */
  takeLongestGapMs(): number;
  /** Number of observed turns, this one included. */
  countTurns(): number;
}

/** What `createTurnMonitor` needs. */
export interface TurnMonitorOptions {
  /**
   * Gaps up to this are usual. It must exceed the period of the timer that
   * observes turns while there is no other work.
   */
  usualGapMs: number;
  /** Runs a callback after the sockets of the current turn have been read. */
  scheduleTurnEnd?(callback: () => void): void;
}

/**
 * A process that is stopped while it returns from the poll handles the input of
 * that poll in a late turn, and reads what arrived meanwhile in the next one. So
 * the turn after a gap of this length is late as well. Shorter gaps are common
 * under load, where most input of the next turn is new.
 */
const STOP_GAP_MS = 500;

/** Creates a monitor that has observed no turn yet. */
export function createTurnMonitor(options: TurnMonitorOptions): TurnMonitor {
  const {usualGapMs, scheduleTurnEnd = setImmediate} = options;
  let beforePreviousAtMs: number | undefined;
  let previousAtMs: number | undefined;
  let currentAtMs: number | undefined;
  let longestGapMs = 0;
  let turnCount = 0;

  const observe = (nowMs: number): void => {
    if (currentAtMs !== undefined) return;
    currentAtMs = nowMs;
    turnCount += 1;
    longestGapMs = Math.max(longestGapMs, nowMs - (previousAtMs ?? nowMs));
    scheduleTurnEnd(() => {
      beforePreviousAtMs = previousAtMs;
      previousAtMs = currentAtMs;
      currentAtMs = undefined;
    });
  };

  return {
    observe,
    takeLongestGapMs: () => {
      const takenMs = longestGapMs;
      longestGapMs = 0;
      return takenMs;
    },
    countTurns: () => turnCount,
    getEarliestArrivalMs: nowMs => {
      if (previousAtMs === undefined) return nowMs;
      const formerAtMs = beforePreviousAtMs ?? previousAtMs;
      if (previousAtMs - formerAtMs > STOP_GAP_MS) return formerAtMs;
      return nowMs - previousAtMs > usualGapMs ? previousAtMs : nowMs;
    },
  };
}

/**
 * Runs `callback` after `delayMs`, and not before the sockets that are readable
 * then have been read. Timers run before sockets are read, so after a late turn
 * a plain timer would end a wait for something that has arrived.
 */
export function startWaitTimer(
  clock: Clock,
  delayMs: number,
  callback: () => void,
): Timer {
  let isCancelled = false;
  const timer = clock.startTimer(delayMs, () => {
    setImmediate(() => {
      if (!isCancelled) callback();
    });
  });
  return {
    cancel: () => {
      isCancelled = true;
      timer.cancel();
    },
  };
}

/** Resolves when the sockets that are readable now have been read. */
export function waitForPoll(): Promise<void> {
  // The check phase follows the poll phase, in which sockets are read.
  return new Promise(resolve => setImmediate(resolve));
}
