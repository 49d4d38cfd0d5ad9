/** Answers that the gateway makes itself. */

/** Why the gateway answers a request itself. */
export enum RefusalCode {
  /** The head is malformed. */
  BadRequest = 'bad-request',
  UnknownKey = 'unknown-key',
  NoRoute = 'no-route',
  BodyTooLarge = 'body-too-large',
  /** The client account is over its limit. */
  OverLimit = 'over-limit',
  /** No configuration is known yet, or its age is above the bound. */
  NotReady = 'not-ready',
  /** No upstream can run the request now. */
  NoUpstream = 'no-upstream',
  /** Every upstream tried stated that it has not run the request. */
  Rejected = 'rejected',
  /** The request may have run and its answer is lost. */
  OutcomeUnknown = 'outcome-unknown',
  /** The route's time is over and the request may have run. */
  TimedOut = 'timed-out',
}

/** An answer of the gateway. */
export interface Refusal {
  code: RefusalCode;
  /** When a repeat may be served, in milliseconds; undefined leaves it open. */
  retryAfterMs?: number;
}

/**
 * Statuses by code. 429 and 503 promise that the request has not run; 502 and
 * 504 promise nothing.
 */
export const REFUSAL_STATUSES: Readonly<Record<RefusalCode, number>> = {
  [RefusalCode.BadRequest]: 400,
  [RefusalCode.UnknownKey]: 401,
  [RefusalCode.NoRoute]: 404,
  [RefusalCode.BodyTooLarge]: 413,
  [RefusalCode.OverLimit]: 429,
  [RefusalCode.NotReady]: 503,
  [RefusalCode.NoUpstream]: 503,
  [RefusalCode.Rejected]: 503,
  [RefusalCode.OutcomeUnknown]: 502,
  [RefusalCode.TimedOut]: 504,
};
