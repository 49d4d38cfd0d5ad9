/** Starts the attempts of a caller request, and logs how they end. */
import {RetryPurpose} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {RequestKind, ResponseClass} from '@siskinplank/serving';
import {ATTEMPT_ENDED, RESPONSE_CUT} from './events';
import type {GuardedRequest} from './guarded-request';
import type {ResendRefusal} from './same-upstream';
import type {SessionOptions} from './session-types';
import {describeAttempt, startAttempt} from './upstream-attempt';
import type {Attempt, AttemptObserver} from './upstream-attempt';

/** Options of `startRequestAttempt`. */
export interface RequestAttemptOptions {
  session: SessionOptions;
  entry: UpstreamEntry;
  /** Whether an attempt was made at this upstream before. */
  isResent: boolean;
  /** Last event that the caller has. */
  lastEventId: string | undefined;
  observer: AttemptObserver;
}

/** Sends a request with what the upstream needs to know about it. */
export function startRequestAttempt(options: RequestAttemptOptions): Attempt {
  const {session, entry, observer} = options;
  const {admitted, format, clock} = session;
  const {request, route, deadlineAtMs, account} = admitted;
  const {upstream} = entry;
  const sentAtMs = clock.getNowMs();
  const headers = format.encodeUpstreamHeaders(request, {
    upstreamId: upstream.id,
    account: account?.name,
    deadlineMs: deadlineAtMs - sentAtMs,
    rank: undefined,
    lastEventId: options.lastEventId,
  });
  return startAttempt({
    entry,
    open: session.recordOpen(entry),
    request: {
      method: request.method,
      target: request.target,
      headers,
      body: admitted.body,
      needsNewConnection: options.isResent,
    },
    model: request.model,
    isStream: route.kind === RequestKind.Stream,
    pool: session.pool,
    clock,
    resolveResponseClass: ({status, headers: answered}, isReused) =>
      format.resolveResponseClass(
        status,
        answered,
        request.attemptId,
        isReused,
      ),
    observer: {
      ...observer,
      onHead: (head, responseClass) => {
        session.limits.observeResponse(
          upstream,
          format.readUpstreamLimit(head.headers),
          sentAtMs,
          responseClass === ResponseClass.Answer,
        );
        if (responseClass === ResponseClass.Misdirected)
          session.recordMisdirected(entry, sentAtMs);
        observer.onHead(head, responseClass);
      },
    },
  });
}

/** Creates the log of the attempts that produce no response for the caller. */
export function createAttemptLog(
  {admitted, clock, logger}: SessionOptions,
  guarded: GuardedRequest,
  getSentCount: () => number,
): (attempt: Attempt, cause: string) => void {
  return (attempt, cause) =>
    logger.log(ATTEMPT_ENDED, {
      request: admitted.request.attemptId,
      attempt: getSentCount(),
      cause,
      ...describeAttempt(attempt, clock.getNowMs()),
      sharedParts: guarded.parts.join(' '),
      leftMs: Math.round(admitted.deadlineAtMs - clock.getNowMs()),
    });
}

/** Creates the log of responses that have begun and get no further attempt. */
export function createCutLog(
  {admitted, clock, logger, canSpendRetry}: SessionOptions,
  hasAttemptsLeft: () => boolean,
): (returnRefusal: ResendRefusal) => void {
  return returnRefusal =>
    logger.log(RESPONSE_CUT, {
      request: admitted.request.attemptId,
      returnRefusal,
      hasAttemptsLeft: hasAttemptsLeft(),
      hasRetryLeft: canSpendRetry(RetryPurpose.Replacement),
      leftMs: Math.round(admitted.deadlineAtMs - clock.getNowMs()),
    });
}
