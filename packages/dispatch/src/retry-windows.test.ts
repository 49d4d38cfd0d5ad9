import {describe, expect, it} from 'vitest';
import {RetryPurpose, createRetryBudget} from './retry-budget';

const BOUND = {ratio: 0.2, slack: 54, windowMs: 10_000};
const STEP_MS = 50;

/**
 * Largest excess over all windows. Requests count in the window, in the one
 * before it or in the one half a window before it.
 */
function computeExcess(requests: number[], repeats: number[]): number {
  const endMs = Math.max(...requests, ...repeats);
  const count = (times: number[], fromMs: number): number =>
    times.filter(atMs => atMs >= fromMs && atMs < fromMs + BOUND.windowMs)
      .length;
  let most = -Infinity;
  for (let startMs = 0; startMs <= endMs; startMs += STEP_MS) {
    const compared = [0, BOUND.windowMs / 2, BOUND.windowMs].map(beforeMs =>
      count(requests, startMs - beforeMs),
    );
    const allowed = BOUND.ratio * Math.max(...compared);
    most = Math.max(most, count(repeats, startMs) - allowed);
  }
  return most;
}

interface Day {
  budgetCount: number;
  endMs: number;
  /** Requests for each gateway within one step. */
  countRequests(nowMs: number): number;
  mayRepeat(nowMs: number): boolean;
  /** Whether the gateway starts again. */
  isRestarted?(index: number, nowMs: number): boolean;
}

function simulateDay(day: Day): number {
  const createBudget = (startedAtMs: number) =>
    createRetryBudget(BOUND, () => 1 / day.budgetCount, startedAtMs);
  const budgets = Array.from({length: day.budgetCount}, () => createBudget(0));
  const requests: number[] = [];
  const repeats: number[] = [];
  for (let nowMs = 12_000; nowMs < day.endMs; nowMs += STEP_MS) {
    budgets.forEach((_, index) => {
      if (day.isRestarted?.(index, nowMs)) budgets[index] = createBudget(nowMs);
      for (let sent = day.countRequests(nowMs); sent > 0; sent -= 1) {
        budgets[index].recordRequest(nowMs);
        requests.push(nowMs);
      }
    });
    if (!day.mayRepeat(nowMs)) continue;
    for (const budget of budgets) {
      while (budget.trySpend(RetryPurpose.Replacement, nowMs))
        repeats.push(nowMs);
    }
  }
  return computeExcess(requests, repeats);
}

describe('retry budget in windows of which none begins with a retry', () => {
  // The first retries come 10 s after the first requests, and traffic ends.
  it.each([0, 2, 5])(
    'keeps to the bound where %i of 10 requests come after the first retries',
    later => {
      const excess = simulateDay({
        budgetCount: 4,
        endMs: 42_000,
        countRequests: nowMs =>
          nowMs < 22_000 || (nowMs / STEP_MS) % 10 < later ? 1 : 0,
        mayRepeat: nowMs => nowMs >= 22_000,
      });
      expect(excess).toBeLessThanOrEqual(BOUND.slack);
    },
  );

  it.each([1, 2, 4])(
    'keeps to the bound where %i of 4 gateways start again',
    count => {
      const excess = simulateDay({
        budgetCount: 4,
        endMs: 52_000,
        countRequests: () => 1,
        mayRepeat: nowMs => nowMs >= 32_000,
        isRestarted: (index, nowMs) => index < count && nowMs === 33_000,
      });
      expect(excess).toBeLessThanOrEqual(BOUND.slack);
    },
  );
});
