/**
 * Retry budget of one service on one gateway. When the upstreams of a service
 * fail many requests, unlimited retries would multiply the load just when the
 * service has the least capacity.
 *
 * Each gateway may retry a fraction of its own requests, and further ones from
 * its fraction of the slack, so that all gateways together stay within the bound
 * in every window. The fraction is a token bucket that starts empty: a gateway
 * that restarts within a window can't spend the same slack twice.
 */

/** Bounds of the retries of all gateways together. */
export interface RetryBudgetOptions {
  /**
   * Retries allowed, as a fraction of the requests in the window, in the one
   * before it or in the one half a window before it.
   */
  ratio: number;
  /** Retries allowed in any window in addition to that fraction. */
  slack: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
}

/** Limits retries by the requests of a sliding window. */
export interface RetryBudget {
  recordRequest(nowMs: number): void;
  /** Whether a retry is left. */
  canSpend(nowMs: number): boolean;
  /** Spends one retry; false when none is left. */
  trySpend(nowMs: number): boolean;
}

/**
 * Fraction of the slack that can be spent at once (capacity of the bucket). The
 * rest is refilled over the window.
 */
const BURST_FRACTION = 0.5;

/** Index of the first of some ascending times that is later than `timeMs`. */
function findFirstAfter(times: readonly number[], timeMs: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (times[middle] > timeMs) high = middle;
    else low = middle + 1;
  }
  return low;
}

/**
 * Creates a budget without recorded requests.
 *
 * @param getSlackFraction this gateway's fraction of the slack, 0 to 1.
 */
export function createRetryBudget(
  options: RetryBudgetOptions,
  getSlackFraction: () => number,
  startedAtMs: number,
): RetryBudget {
  const {ratio, slack, windowMs} = options;
  let requests: number[] = [];
  /** Times of the retries that were covered by the ratio, not by the slack. */
  let repeats: number[] = [];
  let tokens = 0;
  let refilledAtMs = startedAtMs;

  const removeExpired = (times: number[], sinceMs: number): number[] => {
    const firstKept = findFirstAfter(times, sinceMs);
    return firstKept === 0 ? times : times.slice(firstKept);
  };

  const countRequests = (fromMs: number, toMs: number): number =>
    findFirstAfter(requests, toMs) - findFirstAfter(requests, fromMs);

  const fill = (nowMs: number): void => {
    const ownSlack = slack * getSlackFraction();
    const elapsedMs = Math.max(0, nowMs - refilledAtMs);
    refilledAtMs = Math.max(refilledAtMs, nowMs);
    const gained = (ownSlack * (1 - BURST_FRACTION) * elapsedMs) / windowMs;
    tokens = Math.min(ownSlack * BURST_FRACTION, tokens + gained);
  };

  /** Most requests that retries from `startMs` on may be measured by. */
  const countComparedRequests = (startMs: number, nowMs: number): number =>
    Math.max(
      countRequests(startMs - windowMs, startMs),
      countRequests(startMs - windowMs / 2, startMs + windowMs / 2),
      countRequests(startMs, nowMs),
    );

  /**
   * Whether the ratio covers one more retry in each window that it falls into.
   * Fewer requests may come than came so far, so windows that have begun count
   * with the requests that are known.
   */
  const isCovered = (nowMs: number): boolean => {
    fill(nowMs);
    requests = removeExpired(requests, nowMs - 2 * windowMs);
    repeats = removeExpired(repeats, nowMs - windowMs);
    const recentCount = countRequests(nowMs - windowMs, nowMs);
    if (repeats.length + 1 > ratio * recentCount) return false;
    return repeats.every(
      (startMs, index) =>
        repeats.length - index + 1 <=
        ratio * countComparedRequests(startMs, nowMs),
    );
  };

  return {
    recordRequest: nowMs => {
      requests = removeExpired(requests, nowMs - 2 * windowMs);
      requests.push(nowMs);
    },
    canSpend: nowMs => isCovered(nowMs) || tokens >= 1,
    trySpend: nowMs => {
      if (isCovered(nowMs)) {
        repeats.push(nowMs);
        return true;
      }
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
