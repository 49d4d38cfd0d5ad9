/** What is known of one request over its attempts. */
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {AttemptFailure} from '../attempts/types';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** Side processes may hand a request on this often. */
const HOP_LIMIT = 2;

/** State of a request between its attempts; upstreams are named. */
export interface DispatchProgress {
  /** Attempts that failed, without those at upstreams that are away. */
  attempts: number;
  hopsLeft: number;
  /** Upstreams that refused the request. */
  refused: Set<string>;
  /** Upstreams that could not be reached or were lost. */
  lost: Set<string>;
  /** Upstreams that are being restarted or leave. */
  draining: Set<string>;
  /** Upstreams in a row that could not be reached. */
  unreachable: number;
  /** Waits for the return of an upstream. */
  waits: number;
  /** Upstream that the last side process suggested. */
  redirect: string | undefined;
  lastFailure: Refusal | undefined;
  /** Whether the request ran, over all attempts. */
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

/** Makes the caller's refusal; its run state covers all attempts. */
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

/** Whether another attempt could end differently. */
export function isRetryable(failure: AttemptFailure): boolean {
  return !FINAL_CODES.has(failure.code);
}

/** Refusals of side processes that stop or have just started. */
const AWAY_CODES: ReadonlySet<RefusalCode> = new Set([
  RefusalCode.Draining,
  RefusalCode.ConfigurationStale,
]);

/** Whether a restart refused the request before it ran. */
export function isTemporarilyUnavailable({
  code,
  runState,
}: AttemptFailure): boolean {
  return AWAY_CODES.has(code) && runState === RunState.NotRun;
}

/** Joins what is known of two attempts; a run anywhere counts. */
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
