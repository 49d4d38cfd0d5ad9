/**
 * Token budgets of client accounts, exact over all entry hosts. Each host holds
 * share units, which are equal parts of every account's rate and burst.
 * Accounts are hashed to buckets. The coordinator of a bucket borrows units
 * from all hosts (loans) and passes tokens on to hosts with demand (grants).
 */
export * from './types';
export {createAccountLimiter} from './limiter';
export type {AccountLimiterOptions} from './limiter';
export {createCentralLimiter} from './baselines/central';
export {createEvenSplitLimiter} from './baselines/even-split';
