/** Token budgets of client accounts, exact over all entry hosts. */
export * from './types';
export {createAccountLimiter} from './limiter';
export type {AccountLimiterOptions} from './limiter';
export {createCentralLimiter} from './baselines/central';
export {createEvenSplitLimiter} from './baselines/even-split';
