import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RetryPurpose, createRetryBudget} from './retry-budget';
import type {RetryBudget} from './retry-budget';

const BOUND = {ratio: 0.2, slack: 54, windowMs: 10_000};

/** Largest excess of retries over the ratio of requests, over all windows. */
function computeExcess(requests: number[], repeats: number[]): number {
  let most = -Infinity;
  for (const endMs of repeats) {
    const isInside = (atMs: number): boolean =>
      atMs > endMs - BOUND.windowMs && atMs <= endMs;
    const spent = repeats.filter(isInside).length;
    most = Math.max(
      most,
      spent - BOUND.ratio * requests.filter(isInside).length,
    );
  }
  return most;
}

/**
 * Largest excess over all windows that begin with a retry. Requests count in the
 * window, in the one before it or in the one half a window before it.
 */
function computeSlidingExcess(requests: number[], repeats: number[]): number {
  const count = (times: number[], fromMs: number): number =>
    times.filter(atMs => atMs >= fromMs && atMs < fromMs + BOUND.windowMs)
      .length;
  const excesses = repeats.map(startMs => {
    const compared = [0, BOUND.windowMs / 2, BOUND.windowMs].map(beforeMs =>
      count(requests, startMs - beforeMs),
    );
    return count(repeats, startMs) - BOUND.ratio * Math.max(...compared);
  });
  return Math.max(...excesses);
}

describe('retry budget', () => {
  // When every upstream of a service fails, all gateways retry as much as they
  // may. A gateway that restarts must not get its slack a second time.
  it('bounds the retries of all gateways, restarts included', () => {
    const stepMs = 100;
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 25}),
        fc.array(
          fc.record({
            gateway: fc.nat({max: 24}),
            restarts: fc.boolean(),
            requests: fc.nat({max: 4}),
          }),
          {minLength: 250, maxLength: 400},
        ),
        (count, steps) => {
          const create = (nowMs: number): RetryBudget =>
            createRetryBudget(BOUND, () => 1 / count, nowMs);
          const budgets = Array.from({length: count}, () => create(0));
          const requests: number[] = [];
          const repeats: number[] = [];
          steps.forEach((step, index) => {
            const nowMs = 12_000 + index * stepMs;
            const own = step.gateway % count;
            if (step.restarts) budgets[own] = create(nowMs);
            for (let sent = 0; sent < step.requests; sent += 1) {
              budgets[own].recordRequest(nowMs);
              requests.push(nowMs);
            }
            for (const budget of budgets) {
              while (budget.trySpend(RetryPurpose.Replacement, nowMs))
                repeats.push(nowMs);
            }
          });
          expect(computeExcess(requests, repeats)).toBeLessThanOrEqual(
            BOUND.slack,
          );
        },
      ),
      {numRuns: 60},
    );
  });

  // Requests that came before a window cover no retries in it.
  it('keeps to the bound where fewer requests come after the start', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 6}),
        fc.integer({min: 2_000, max: 9_000}),
        fc.array(fc.nat({max: 1}), {minLength: 120, maxLength: 200}),
        (count, fallsAtMs, steps) => {
          const budgets = Array.from({length: count}, () =>
            createRetryBudget(BOUND, () => 1 / count, 0),
          );
          const requests: number[] = [];
          const repeats: number[] = [];
          steps.forEach((hasPause, index) => {
            const sinceStartMs = index * 100;
            const nowMs = 12_000 + sinceStartMs;
            const sent = sinceStartMs < fallsAtMs ? 12 : 6;
            for (let request = 0; request < sent; request += 1) {
              budgets[request % count].recordRequest(nowMs);
              requests.push(nowMs);
            }
            if (hasPause === 0) return;
            for (const budget of budgets) {
              while (budget.trySpend(RetryPurpose.Replacement, nowMs))
                repeats.push(nowMs);
            }
          });
          expect(computeSlidingExcess(requests, repeats)).toBeLessThanOrEqual(
            BOUND.slack,
          );
        },
      ),
      {numRuns: 60},
    );
  });

  it('allows a burst of retries from the slack', () => {
    const budget = createRetryBudget(BOUND, () => 1 / 4, 0);
    let spent = 0;
    while (budget.trySpend(RetryPurpose.Replacement, 12_000)) spent += 1;
    expect(spent).toBe(6);
  });

  it.each([0, 100])(
    'leaves retries to failed requests after failovers, at %i requests',
    requestCount => {
      const nowMs = 12_000;
      const budget = createRetryBudget(BOUND, () => 1, 0);
      for (let sent = 0; sent < requestCount; sent += 1) {
        budget.recordRequest(nowMs);
      }
      const spend = (purpose: RetryPurpose): number => {
        let spent = 0;
        while (budget.trySpend(purpose, nowMs)) spent += 1;
        expect(budget.canSpend(purpose, nowMs)).toBe(false);
        return spent;
      };
      const failovers = spend(RetryPurpose.Failover);
      const replacements = spend(RetryPurpose.Replacement);
      expect(failovers).toBeGreaterThan(replacements);
      expect(replacements).toBeGreaterThanOrEqual(failovers / 4);
    },
  );
});
