/** Error responses that the gateway sends itself. */
import {BufferFault} from '@siskinplank/receive-buffers';

/** Why the gateway refuses a request. */
export enum RefusalCode {
  /** The head is malformed. */
  BadRequest = 'bad-request',
  UnknownKey = 'unknown-key',
  NoRoute = 'no-route',
  BodyTooLarge = 'body-too-large',
  /** The memory for its body is needed for other messages. */
  MemoryShort = 'memory-short',
  /** The client account is over its limit. */
  OverLimit = 'over-limit',
  /** No gateway that pools the account's tokens replied. */
  LimitUnknown = 'limit-unknown',
  /** No configuration is loaded yet, or it is too old to trust its keys. */
  NotReady = 'not-ready',
  /** The request waited too long before it could be started. */
  LateStart = 'late-start',
  /** This gateway stops before the request would end. */
  Stopping = 'stopping',
  /** No upstream can run the request now. */
  NoUpstream = 'no-upstream',
  /** No upstream has the software version that began the stream. */
  VersionNotServed = 'version-not-served',
  /** It is not known which software version began the stream. */
  OriginUnknown = 'origin-unknown',
  /** The upstreams that could run it are at the limits that they named. */
  UpstreamLimit = 'upstream-limit',
  /** The upstreams that could run it want nothing from this gateway yet. */
  UpstreamBackoff = 'upstream-backoff',
  /** Parts of its prompt are blamed for the end of upstreams. */
  PoisonedPrompt = 'poisoned-prompt',
  /** Upstreams ended under this request. */
  DeadlyRequest = 'deadly-request',
  /** Every upstream tried stated that it has not run the request. */
  Rejected = 'rejected',
  /** The request may have run and its response is lost. */
  OutcomeUnknown = 'outcome-unknown',
  /** The deadline has passed and the request may have run. */
  TimedOut = 'timed-out',
}

/** A refusal with its suggested Retry-After. */
export interface Refusal {
  code: RefusalCode;
  /** Milliseconds until a retry may succeed; no Retry-After if undefined. */
  retryAfterMs?: number;
}

/**
 * Statuses by code. 429 and 503 guarantee that the request has not run; 502
 * and 504 do not.
 */
export const REFUSAL_STATUSES: Readonly<Record<RefusalCode, number>> = {
  [RefusalCode.BadRequest]: 400,
  [RefusalCode.UnknownKey]: 401,
  [RefusalCode.NoRoute]: 404,
  [RefusalCode.BodyTooLarge]: 413,
  [RefusalCode.MemoryShort]: 503,
  [RefusalCode.OverLimit]: 429,
  [RefusalCode.LimitUnknown]: 503,
  [RefusalCode.NotReady]: 503,
  [RefusalCode.LateStart]: 503,
  [RefusalCode.Stopping]: 503,
  [RefusalCode.NoUpstream]: 503,
  [RefusalCode.VersionNotServed]: 503,
  [RefusalCode.OriginUnknown]: 503,
  [RefusalCode.UpstreamLimit]: 503,
  [RefusalCode.UpstreamBackoff]: 503,
  [RefusalCode.PoisonedPrompt]: 503,
  [RefusalCode.DeadlyRequest]: 503,
  [RefusalCode.Rejected]: 503,
  [RefusalCode.OutcomeUnknown]: 502,
  [RefusalCode.TimedOut]: 504,
};

/** Retry-After of requests whose bodies found no memory. */
const MEMORY_RETRY_MS = 200;

/** Refusals of requests whose bodies could not be kept. */
export const BODY_REFUSALS: Readonly<Record<BufferFault, Refusal>> = {
  [BufferFault.TooLong]: {code: RefusalCode.BodyTooLarge},
  [BufferFault.Evicted]: {
    code: RefusalCode.MemoryShort,
    retryAfterMs: MEMORY_RETRY_MS,
  },
};
