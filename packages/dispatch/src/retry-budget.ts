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

/** Why a request is sent once more. */
export enum RetryPurpose {
  /** Its attempt has failed, so that it has no other one. */
  Replacement = 'replacement',
  /** Its attempt is silent and may still go on. */
  Failover = 'failover',
}

/** Limits retries by the requests of a sliding window. */
export interface RetryBudget {
  recordRequest(nowMs: number): void;
  /** Whether a retry is left for the purpose. */
  canSpend(purpose: RetryPurpose, nowMs: number): boolean;
  /** Spends one retry; false when none is left for the purpose. */
  trySpend(purpose: RetryPurpose, nowMs: number): boolean;
}

/**
 * Fraction that failovers leave to requests whose attempt has failed. When many
 * upstreams pause at once, failovers would spend all of it on requests that need
 * none.
 */
const REPLACEMENT_FRACTION = 0.25;

/**
 * Fraction of the slack that can be spent at once (capacity of the bucket). The
 * rest is refilled over the window.
 */
const BURST_FRACTION = 0.5;

function getUsableFraction(purpose: RetryPurpose): number {
  return purpose === RetryPurpose.Failover ? 1 - REPLACEMENT_FRACTION : 1;
}

/** Starting points in a window from which further windows are checked. */
const WINDOW_STEPS = 40;

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
  const stepMs = windowMs / WINDOW_STEPS;
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

  /**
   * Most requests that the retries of a window may be measured by, if it begins
   * within one step after `startMs`.
   */
  const countComparedRequests = (startMs: number, nowMs: number): number => {
    const latestStartMs = startMs + stepMs;
    return Math.max(
      countRequests(latestStartMs - windowMs, startMs),
      countRequests(latestStartMs - windowMs / 2, startMs + windowMs / 2),
      countRequests(latestStartMs, nowMs),
    );
  };

  /**
   * Whether the ratio covers one more retry in each window that it falls into.
   * Fewer requests may come than came so far, so windows that have begun count
   * with the requests that are known.
   */
  const isCovered = (usableFraction: number, nowMs: number): boolean => {
    fill(nowMs);
    const usableRatio = ratio * usableFraction;
    requests = removeExpired(requests, nowMs - 2 * windowMs);
    repeats = removeExpired(repeats, nowMs - windowMs);
    const recentCount = countRequests(nowMs - windowMs, nowMs);
    if (repeats.length + 1 > usableRatio * recentCount) return false;
    const firstStartMs = Math.ceil((nowMs - windowMs) / stepMs) * stepMs;
    for (let startMs = firstStartMs; startMs < nowMs; startMs += stepMs) {
      const count = repeats.length - findFirstAfter(repeats, startMs) + 1;
      const compared = countComparedRequests(startMs, nowMs);
      if (count > usableRatio * compared) return false;
    }
    return true;
  };

  /** Whether the slack has a retry left. */
  const hasToken = (purpose: RetryPurpose): boolean => {
    const burst = slack * getSlackFraction() * BURST_FRACTION;
    return tokens - burst * (1 - getUsableFraction(purpose)) >= 1;
  };

  return {
    recordRequest: nowMs => {
      requests = removeExpired(requests, nowMs - 2 * windowMs);
      requests.push(nowMs);
    },
    canSpend: (purpose, nowMs) =>
      isCovered(getUsableFraction(purpose), nowMs) || hasToken(purpose),
    trySpend: (purpose, nowMs) => {
      if (isCovered(getUsableFraction(purpose), nowMs)) {
        repeats.push(nowMs);
        return true;
      }
      if (!hasToken(purpose)) return false;
      tokens -= 1;
      return true;
    },
  };
}
