/** Retry budgets of the services. */
import {createRetryBudget} from '@siskinplank/dispatch';
import type {RetryBudget, RetryBudgetOptions} from '@siskinplank/dispatch';
import type {Clock} from '@siskinplank/foundation';

/** What `createServiceBudgets` needs. */
export interface ServiceBudgetsOptions {
  retryBudget: RetryBudgetOptions;
  /** Fraction of the retry budget of all gateways that this one may use. */
  getFleetFraction(): number;
  clock: Clock;
}

/** One budget for each service. */
export interface ServiceBudgets {
  ensureBudget(service: string): RetryBudget;
}

/** Creates budgets that begin at their first use. */
export function createServiceBudgets(
  options: ServiceBudgetsOptions,
): ServiceBudgets {
  const budgets = new Map<string, RetryBudget>();
  return {
    ensureBudget: service => {
      const known = budgets.get(service);
      if (known !== undefined) return known;
      const budget = createRetryBudget(
        options.retryBudget,
        options.getFleetFraction,
        options.clock.getStartedMs(),
      );
      budgets.set(service, budget);
      return budget;
    },
  };
}
