/** Progress of one request over its attempts. */
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {AttemptFailure} from '../attempts/types';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** How often side processes may redirect a request to another upstream. */
const HOP_LIMIT = 2;

/** State of a request between its attempts; the sets hold upstream names. */
export interface DispatchProgress {
  /** Failed attempts, except those at temporarily unavailable upstreams. */
  attempts: number;
  hopsLeft: number;
  /** Upstreams that refused the request. */
  refused: Set<string>;
  /** Upstreams that could not be reached or whose link was lost. */
  lost: Set<string>;
  /** Upstreams that drain or have just started. */
  draining: Set<string>;
  /** Failed connections to side processes since the last wait. */
  unreachable: number;
  /** Waits until an upstream became available. */
  waits: number;
  /** Upstream to which the last side process redirected the request. */
  redirect: string | undefined;
  lastFailure: Refusal | undefined;
  /** Run state over all attempts. */
  runState: RunState;
}

/** Creates the state of a request before its first attempt. */
export function createProgress(): DispatchProgress {
  return {
    attempts: 0,
    hopsLeft: HOP_LIMIT,
    refused: new Set(),
    lost: new Set(),
    draining: new Set(),
    unreachable: 0,
    waits: 0,
    redirect: undefined,
    lastFailure: undefined,
    runState: RunState.NotRun,
  };
}

/** Records a failed attempt at an upstream. */
export function recordFailure(
  progress: DispatchProgress,
  upstreamName: string,
  failure: AttemptFailure,
): void {
  progress.lastFailure = failure;
  progress.runState = combineRunStates(progress.runState, failure.runState);
  if (isTemporarilyUnavailable(failure)) progress.draining.add(upstreamName);
  else {
    progress.attempts += 1;
    const isLost = failure.code === RefusalCode.LinkLost;
    (isLost ? progress.lost : progress.refused).add(upstreamName);
  }
  progress.redirect = progress.hopsLeft > 0 ? failure.redirect : undefined;
}

/** Records an upstream whose side process could not be reached. */
export function recordUnreachable(
  progress: DispatchProgress,
  upstreamName: string,
): void {
  progress.unreachable += 1;
  progress.lost.add(upstreamName);
  progress.lastFailure ??= makeNoUpstreamRefusal();
}

/** Makes the refusal for the caller; its run state covers all attempts. */
export function makeFinalRefusal(
  progress: DispatchProgress,
  refusal: Refusal,
): Refusal {
  return {
    code: refusal.code,
    message: refusal.message,
    retryAfterMs: refusal.retryAfterMs,
    status: refusal.status,
    runState: combineRunStates(progress.runState, refusal.runState),
  };
}

const FINAL_CODES: ReadonlySet<RefusalCode> = new Set([
  RefusalCode.InvalidRequest,
  RefusalCode.BodyTooLarge,
  RefusalCode.DeadlineExceeded,
  RefusalCode.Cancelled,
]);

/** Whether another attempt could succeed. */
export function isRetryable(failure: AttemptFailure): boolean {
  return !FINAL_CODES.has(failure.code);
}

/** Refusals of side processes that shut down or have just started. */
const UNAVAILABLE_CODES: ReadonlySet<RefusalCode> = new Set([
  RefusalCode.Draining,
  RefusalCode.ConfigurationStale,
]);

/** Whether a side process that restarts refused the request before it ran. */
export function isTemporarilyUnavailable({
  code,
  runState,
}: AttemptFailure): boolean {
  return UNAVAILABLE_CODES.has(code) && runState === RunState.NotRun;
}

/** Combines two run states: `Ran` takes precedence, then `Unknown`. */
function combineRunStates(a: RunState, b: RunState): RunState {
  if (a === RunState.Ran || b === RunState.Ran) return RunState.Ran;
  if (a === RunState.Unknown || b === RunState.Unknown) return RunState.Unknown;
  return RunState.NotRun;
}

/** Refusal of a request whose deadline has passed. */
export function makeDeadlineRefusal(): Refusal {
  return makeRefusal(
    RefusalCode.DeadlineExceeded,
    'The deadline passed before the request could run.',
  );
}

/** Refusal of a request that no upstream can take at present. */
export function makeNoUpstreamRefusal(): Refusal {
  return makeRefusal(
    RefusalCode.NoUpstream,
    'No upstream can be reached for this request at present.',
  );
}
