/** Token bucket that limits retries to a fraction of the requests. */

/** Allows or denies retries. */
export interface RetryBudget {
  /** Counts a request, which adds a fraction of a retry to the budget. */
  recordRequest(): void;
  /** Takes one retry; returns false when the budget is exhausted. */
  takeRetry(nowMs: number): boolean;
}

/** Retries added per second, so that a process with few requests can retry. */
const MIN_RETRIES_PER_SECOND = 1;

/** Most retries that the budget holds for a burst of failures. */
const MAX_SAVED_RETRIES = 20;

/** Creates a full budget; `ratio` is the number of retries per request. */
export function createRetryBudget(ratio: number, nowMs: number): RetryBudget {
  let level = MAX_SAVED_RETRIES;
  let refilledAtMs = nowMs;
  return {
    recordRequest: () => {
      level = Math.min(MAX_SAVED_RETRIES, level + ratio);
    },
    takeRetry: atMs => {
      const earned = ((atMs - refilledAtMs) / 1_000) * MIN_RETRIES_PER_SECOND;
      level = Math.min(MAX_SAVED_RETRIES, level + Math.max(0, earned));
      refilledAtMs = atMs;
      if (level < 1) return false;
      level -= 1;
      return true;
    },
  };
}
