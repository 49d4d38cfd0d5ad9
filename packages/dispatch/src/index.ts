/**
 * Decisions about requests: which upstream to use, how long to wait, when to
 * refuse or fail over. Does no I/O and takes the current time as an argument.
 */
export {RetryPurpose, createRetryBudget} from './retry-budget';
export type {RetryBudget, RetryBudgetOptions} from './retry-budget';
export {createUpstreamTable} from './upstream-table';
export type {
  LoadingModel,
  ModelState,
  OpenLoad,
  OpenRequest,
  OpenLoadByUpstream,
  UpstreamEntry,
  UpstreamTable,
} from './upstream-table';
export {
  DispatchPolicy,
  DispatchPolicyName,
  createDispatchPolicy,
} from './policies';
export type {DispatchChoice, DispatchRequest} from './policies';
export {computeTokenWaitMs} from './caller-patience';
export type {TokenWaitInput} from './caller-patience';
export {mayAwaitVersionLoad} from './version-load';
export type {VersionLoadInput} from './version-load';
export {planWait} from './wait-decision';
export type {WaitDecision, WaitInput} from './wait-decision';
export {createUpstreamProgress} from './upstream-progress';
export type {UpstreamProgress} from './upstream-progress';
export {FailoverReason, planFailover} from './failover';
export type {FailoverInput} from './failover';
export {LATE_START_RETRY_MS, shouldRefuseLateStart} from './late-start';
export type {LateStartInput} from './late-start';
export {createDurationEstimator} from './duration-estimate';
export type {DurationEstimator} from './duration-estimate';
export {SHUTDOWN_RETRY_AFTER_MS, computeLastStartAtMs} from './last-start';
export type {LastStartInput} from './last-start';
export {computeBacklog} from './accept-queue';
