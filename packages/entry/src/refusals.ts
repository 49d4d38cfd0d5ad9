/** Refusals and their HTTP form: status code, error body and headers. */
import {RefusalCode, RunState} from '@siskinplank/resources';

/** Reason of a refusal, and whether the request ran. */
export interface Refusal {
  code: RefusalCode;
  runState: RunState;
  message: string;
  retryAfterMs?: number;
  /** Name of the invalid request field or header. */
  param?: string;
  /** Overrides the status code of `code`. */
  status?: number;
}

/** Body of an error response in the format of the OpenAI API. */
export interface ErrorBody {
  error: {
    message: string;
    type: string;
    param: string | null;
    code: string;
  };
  run_state: RunState;
}

export const RUN_STATE_HEADER = 'x-siskinplank-run-state';
export const HOPS_HEADER = 'x-siskinplank-hops';
export const REPLAYED_HEADER = 'x-siskinplank-replayed';
export const REQUEST_ID_HEADER = 'x-request-id';

const STATUS_CODES: Record<RefusalCode, number> = {
  [RefusalCode.InvalidRequest]: 400,
  [RefusalCode.BodyTooLarge]: 413,
  [RefusalCode.InvalidKey]: 401,
  [RefusalCode.KeyWithdrawn]: 401,
  [RefusalCode.ModelNotFound]: 404,
  [RefusalCode.RouteNotFound]: 404,
  [RefusalCode.NotPermitted]: 403,
  [RefusalCode.RateLimited]: 429,
  [RefusalCode.TooLargeForBurst]: 429,
  [RefusalCode.DeadlineExceeded]: 504,
  [RefusalCode.Overloaded]: 503,
  [RefusalCode.Draining]: 503,
  [RefusalCode.NoUpstream]: 503,
  [RefusalCode.UpstreamFailed]: 502,
  [RefusalCode.LinkLost]: 502,
  [RefusalCode.ConfigurationStale]: 503,
  [RefusalCode.PlatformUnavailable]: 503,
  [RefusalCode.ClaimInProgress]: 409,
  [RefusalCode.ClaimMismatch]: 422,
  [RefusalCode.ClaimUnresolved]: 409,
  [RefusalCode.PoisonedRequest]: 503,
  /** Not in the HTTP standard; a disconnected caller doesn't receive it. */
  [RefusalCode.Cancelled]: 499,
};

/** Suggested retry delay when the refusal has none. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Makes a refusal; its run state is `NotRun` unless `options` sets it. */
export function makeRefusal(
  code: RefusalCode,
  message: string,
  options: Partial<Refusal> = {},
): Refusal {
  return {code, message, runState: RunState.NotRun, ...options};
}

/** Returns the status code of a refusal. */
export function getRefusalStatus(refusal: Refusal): number {
  return refusal.status ?? STATUS_CODES[refusal.code];
}

function getErrorType(status: number): string {
  if (status === 429) return 'rate_limit_error';
  if (status >= 500) return 'server_error';
  return 'invalid_request_error';
}

/** Renders the error body of a refusal. */
export function renderErrorBody(refusal: Refusal): ErrorBody {
  return {
    error: {
      message: refusal.message,
      type: getErrorType(getRefusalStatus(refusal)),
      param: refusal.param ?? null,
      code: refusal.code,
    },
    run_state: refusal.runState,
  };
}

/** Renders the headers of a refusal, `Retry-After` in whole seconds. */
export function renderRefusalHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json; charset=utf-8',
    [RUN_STATE_HEADER]: refusal.runState,
  };
  const status = getRefusalStatus(refusal);
  if (refusal.code === RefusalCode.TooLargeForBurst) {
    // OpenAI clients retry a 429, but a retry can't succeed here.
    headers['x-should-retry'] = 'false';
    return headers;
  }
  const isRepeatable =
    status === 429 ||
    status === 503 ||
    refusal.code === RefusalCode.ClaimInProgress;
  if (isRepeatable || refusal.retryAfterMs !== undefined) {
    const waitMs = refusal.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
    headers['retry-after'] = String(Math.max(1, Math.ceil(waitMs / 1_000)));
  }
  return headers;
}
