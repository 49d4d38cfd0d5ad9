/**
 * Budget of sends beyond the first of each request, for one service on one
 * gateway. Answers a service whose upstreams fail many requests: without it
 * repeats would multiply the load just when the service can take least.
 *
 * The sum over all gateways stays within the bound in every window: a share of
 * the own requests, and this gateway's part of the slack. That part is a token
 * bucket which starts empty, so that a process that takes the place of another
 * within the window does not spend the same part twice.
 */

/** Bounds of the budget, over all gateways. */
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
  recordRequest(nowMs: number): void;
  /** Takes one repeat; false when none is left. */
  trySpend(nowMs: number): boolean;
}

/** Part of the slack that can be spent at once; the rest comes in over the window. */
const BURST_SHARE = 0.5;

/**
 * Creates a budget without history.
 *
 * @param getPart part of the slack that belongs to this gateway, 0 to 1.
 */
export function createRetryBudget(
  options: RetryBudgetOptions,
  getPart: () => number,
  startedAtMs: number,
): RetryBudget {
  const {ratio, slack, windowMs} = options;
  let requests: number[] = [];
  /** Repeats that the share of the requests paid for. */
  let repeats: number[] = [];
  let tokens = 0;
  let filledAtMs = startedAtMs;

  const prune = (times: number[], nowMs: number): number[] => {
    const firstKept = times.findIndex(time => time > nowMs - windowMs);
    if (firstKept === 0) return times;
    return firstKept < 0 ? [] : times.slice(firstKept);
  };

  const fill = (nowMs: number): void => {
    const ownSlack = slack * getPart();
    const elapsedMs = Math.max(0, nowMs - filledAtMs);
    filledAtMs = Math.max(filledAtMs, nowMs);
    const gained = (ownSlack * (1 - BURST_SHARE) * elapsedMs) / windowMs;
    tokens = Math.min(ownSlack * BURST_SHARE, tokens + gained);
  };

  return {
    recordRequest: nowMs => {
      requests = prune(requests, nowMs);
      requests.push(nowMs);
    },
    trySpend: nowMs => {
      fill(nowMs);
      requests = prune(requests, nowMs);
      repeats = prune(repeats, nowMs);
      if (repeats.length + 1 <= ratio * requests.length) {
        repeats.push(nowMs);
        return true;
      }
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
