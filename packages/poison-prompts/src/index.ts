/**
 * Finds prompt parts and requests that end upstreams. Does no I/O and takes the current time
 * as an argument.
 */
export {createPoisonTracker} from './poison-tracker';
export type {PoisonTracker, PoisonTrackerOptions} from './poison-tracker';
export {createDeadlyRequests} from './deadly-requests';
export type {
  DeadlyRequests,
  DeadlyRequestsOptions,
  UnansweredEnd,
} from './deadly-requests';
export {BlameEnd} from './blame-table';
export type {
  EndedRequest,
  PoisonReport,
  ReportedDeadlyRequest,
  RequestVerdict,
} from './types';
