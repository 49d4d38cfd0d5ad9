/** Token bucket that limits the platform calls of one process. */

/** Rate limit of platform calls. */
export interface CallBudget {
  /** Takes one token; false when none is left. */
  tryTake(nowMs: number): boolean;
  /**
   * Takes one token even when none is left, to find the outcome of a write
   * whose reply was lost. Normal calls are refused until the overdraft is refilled.
   */
  forceTake(nowMs: number): void;
}

/** Creates a full bucket; its burst is the calls of one second, at least 1. */
export function createCallBudget(
  callsPerSecond: number,
  startMs: number,
): CallBudget {
  const burst = Math.max(1, callsPerSecond);
  let level = burst;
  let updatedMs = startMs;
  const refresh = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - updatedMs);
    level = Math.min(burst, level + (elapsedMs * callsPerSecond) / 1000);
    updatedMs = Math.max(updatedMs, nowMs);
  };
  return {
    tryTake: nowMs => {
      refresh(nowMs);
      if (level < 1) return false;
      level -= 1;
      return true;
    },
    forceTake: nowMs => {
      refresh(nowMs);
      level = Math.max(-burst, level - 1);
    },
  };
}
