/**
 * Budget of sends beyond the first of each request, for one service on one
 * gateway. Answers a service whose upstreams fail many requests: without it
 * repeats would multiply the load just when the service can take least.
 */

/** Bounds of the budget. */
export interface RetryBudgetOptions {
  /** Repeats allowed as a share of the requests in the window. */
  ratio: number;
  /** Repeats allowed in any window besides that share. */
  slack: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
}

/** Counts requests and repeats in a sliding window. */
export interface RetryBudget {
  noteRequest(nowMs: number): void;
  /** Takes one repeat; false when none is left. */
  trySpend(nowMs: number): boolean;
}

/** Creates a budget without history. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  let requests: number[] = [];
  let repeats: number[] = [];

  const prune = (times: number[], nowMs: number): number[] => {
    const firstKept = times.findIndex(time => time > nowMs - options.windowMs);
    if (firstKept === 0) return times;
    return firstKept < 0 ? [] : times.slice(firstKept);
  };

  return {
    noteRequest: nowMs => {
      requests = prune(requests, nowMs);
      requests.push(nowMs);
    },
    trySpend: nowMs => {
      requests = prune(requests, nowMs);
      repeats = prune(repeats, nowMs);
      const allowed = options.ratio * requests.length + options.slack;
      if (repeats.length + 1 > allowed) return false;
      repeats.push(nowMs);
      return true;
    },
  };
}
