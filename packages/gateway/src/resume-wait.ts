/**
 * Lets requests that resume a stream wait for the store, which may tell where
 * the stream began, and for a process that has just started. After a kill of
 * all gateways their callers come back at once, and each may have only one more
 * attempt.
 */
import type {Clock} from '@siskinplank/foundation';
import type {CallerRequest} from '@siskinplank/serving';
import {RefusalCode} from './refusals';
import type {Refusal} from './refusals';
import type {StreamOrigins} from './stream-origins';

/** What the decision depends on. */
export interface StartWaitInput {
  request: Pick<CallerRequest, 'lastEventId'>;
  refusal: Refusal;
  /** Whether the stored origins of streams were read. */
  isLoaded: boolean;
  arrivedAtMs: number;
  /** Start of this process. */
  startedAtMs: number;
  nowMs: number;
}

/** Time within which a process that starts is usually ready. */
const START_MS = 3_000;
/** Half of the least time for which callers wait for the next event. */
const MAX_WAIT_MS = 1_000;
/** Period in which a request that waits is tried again. */
const CHECK_PERIOD_MS = 50;

/** Whether a request is tried again later instead of refused. */
export function shouldAwaitStart(input: StartWaitInput): boolean {
  const {request, refusal, nowMs} = input;
  if (request.lastEventId === undefined) return false;
  const isStarting = nowMs - input.startedAtMs < START_MS;
  const isInTime = nowMs - input.arrivedAtMs < MAX_WAIT_MS;
  const mayPass =
    refusal.code === RefusalCode.NotReady ||
    (refusal.code === RefusalCode.OriginUnknown && !input.isLoaded);
  return isStarting && isInTime && mayPass;
}

/** A request that would be refused. */
export interface RefusedRequest extends Pick<
  StartWaitInput,
  'request' | 'refusal' | 'arrivedAtMs'
> {
  /** First time at which the origin was looked up. */
  sinceMs: number;
}

/** Calls back later if the request is to be tried again; else returns false. */
export type ResumeWait = (
  refused: RefusedRequest,
  onRetry: () => void,
) => boolean;

/** Creates the wait for the process of `clock`. */
export function createResumeWait({
  clock,
  origins,
}: {
  clock: Clock;
  origins: Pick<StreamOrigins, 'isLoaded' | 'awaitRead'>;
}): ResumeWait {
  return (refused, onRetry) => {
    const nowMs = clock.getNowMs();
    const isOriginUnknown = refused.refusal.code === RefusalCode.OriginUnknown;
    if (isOriginUnknown && origins.awaitRead(refused.sinceMs, nowMs, onRetry)) {
      return true;
    }
    const mayWait = shouldAwaitStart({
      ...refused,
      isLoaded: origins.isLoaded(),
      startedAtMs: clock.getStartedMs(),
      nowMs,
    });
    if (mayWait) clock.startTimer(CHECK_PERIOD_MS, onRetry);
    return mayWait;
  };
}
