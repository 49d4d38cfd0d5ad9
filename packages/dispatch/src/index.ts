/** Decisions on requests: which upstream, when to wait, when to refuse; no sockets, time as an argument. */
export {createRetryBudget} from './retry-budget';
export type {RetryBudget, RetryBudgetOptions} from './retry-budget';
export {createUpstreamTable} from './upstream-table';
export type {UpstreamEntry, UpstreamTable} from './upstream-table';
export {DispatchPolicy, createLeastOutstandingPolicy} from './policies';
export type {DispatchRequest} from './policies';
