/** Clock of one simulated process, which can be frozen. */
import type {Clock, ManualClock, Timer} from '@siskinplank/foundation';

/** A process clock that defers callbacks while it is frozen. */
export interface FreezableClock extends Clock {
  isFrozen(): boolean;
  freeze(): void;
  /** Runs the callbacks that became due while frozen. */
  thaw(): void;
  /** Drops all later callbacks, as when the process is killed. */
  stop(): void;
}

/** Creates a process clock with its own origin. */
export function createFreezableClock(
  base: ManualClock,
  offsetMs: number,
): FreezableClock {
  let isFrozen = false;
  let isStopped = false;
  let deferredCallbacks = new Set<() => void>();
  const run = (callback: () => void): void => {
    if (isStopped) return;
    if (isFrozen) deferredCallbacks.add(callback);
    else callback();
  };
  const startTimer = (delayMs: number, callback: () => void): Timer => {
    const timer = base.startTimer(delayMs, () => run(callback));
    return {
      cancel: () => {
        timer.cancel();
        deferredCallbacks.delete(callback);
      },
    };
  };
  return {
    isFrozen: () => isFrozen,
    freeze: () => {
      isFrozen = true;
    },
    thaw: () => {
      isFrozen = false;
      const dueCallbacks = deferredCallbacks;
      deferredCallbacks = new Set();
      for (const callback of dueCallbacks) run(callback);
    },
    stop: () => {
      isStopped = true;
    },
    getStartedMs: () => 0,
    getNowMs: () => base.getNowMs() + offsetMs,
    getWallMs: () => base.getNowMs(),
    startTimer,
    startInterval: (periodMs, callback) => {
      const timer = base.startInterval(periodMs, () => run(callback));
      return {
        cancel: () => {
          timer.cancel();
          deferredCallbacks.delete(callback);
        },
      };
    },
    waitMs: delayMs =>
      new Promise(resolve => void startTimer(delayMs, resolve)),
  };
}

/** Advances the clock in steps and lets promises settle after each. */
export async function runClock(
  clock: ManualClock,
  durationMs: number,
  stepMs: number,
  onStep: () => void = () => {},
): Promise<void> {
  const endMs = clock.getNowMs() + durationMs;
  while (clock.getNowMs() < endMs) {
    onStep();
    clock.runFor(Math.min(stepMs, endMs - clock.getNowMs()));
    await new Promise(resolve => setImmediate(resolve));
  }
}
