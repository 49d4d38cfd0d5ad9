/**
 * One caller request from its complete body to its final response: attempts at
 * upstreams, the relay of the response, and the refusal when there is none. The
 * kind of the route decides whether a request may be retried.
 */
import {RetryPurpose, SHUTDOWN_RETRY_AFTER_MS} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeFailure, ResponseHead} from '@siskinplank/http-exchange';
import {RequestKind, ResponseClass, canRepeat} from '@siskinplank/serving';
import {createAttemptCounts} from './attempt-counts';
import {createBrokenObserver, createGuardedRequest} from './guarded-request';
import type {BrokenRequest} from './request-guard';
import {REFUSAL_STATUSES, RefusalCode} from './refusals';
import type {Refusal} from './refusals';
import {
  createAttemptLog,
  createCutLog,
  startRequestAttempt,
} from './request-attempt';
import {createFailover} from './request-failover';
import {isEmptySuccess, isSuccess} from './response-heads';
import {createSameUpstream} from './same-upstream';
import {MIN_SEND_MS} from './session-types';
import type {
  AttemptTarget,
  RequestSession,
  SessionOptions,
} from './session-types';
import type {Attempt} from './upstream-attempt';

/** Fault scores of a 5xx response and a failed exchange. */
const SERVER_ERROR_FAULT = 0.15;
const CONNECTION_FAULT = 0.5;
/** Retry-After when upstreams rejected a request or none is left to try. */
const REJECTED_RETRY_MS = 200;

/** Creates a session that does nothing before `start`. */
export function createRequestSession(options: SessionOptions): RequestSession {
  const {admitted, response, clock} = options;
  const {request, route, deadlineAtMs} = admitted;
  const isRepeatable = canRepeat(route);
  const guarded = createGuardedRequest(admitted);
  const observeBroken = createBrokenObserver(guarded, route);
  const sameUpstream = createSameUpstream(options);
  const counts = createAttemptCounts(route);
  const {triedUpstreamIds, getSentCount, hasAttemptsLeft} = counts;
  const logAttempt = createAttemptLog(options, guarded, getSentCount);
  const logCut = createCutLog(options, hasAttemptsLeft);
  let current: Attempt | undefined;
  /** Attempt whose head was sent to the caller before its body was complete. */
  let startedBy: Attempt | undefined;
  /** Whether another attempt may go on with the response that has begun. */
  let canContinue = true;
  /** Whether an earlier attempt may have run. */
  let mayHaveRun = false;
  /** Delivers the failure with which an upstream answered, in place of ours. */
  let deliverFailure: (() => void) | undefined;
  let lastEventId: string | undefined;
  let hasEnded = false;
  let hasResent = false;
  let stopSearch: (() => void) | undefined;
  let firstByteMs: number | undefined;
  /** Whether this request tests whether it ends upstreams. */
  let isTrial = false;

  // What two versions write doesn't fit together, so a stream goes on at the
  // version that began it.
  const getTarget = (): AttemptTarget => ({
    triedUpstreamIds,
    softwareVersion: (startedBy?.entry.upstream ?? admitted).softwareVersion,
  });

  const end = (
    status: number,
    refusal: Refusal | undefined,
    upstreamId: string | undefined,
  ): void => {
    if (hasEnded) return;
    hasEnded = true;
    stopSearch?.();
    timeoutTimer.cancel();
    options.onEnd({
      status,
      refusal,
      attempts: getSentCount(),
      upstreamId,
      softwareVersion: startedBy?.entry.upstream.softwareVersion,
      firstByteMs,
      mayHaveRun,
    });
  };

  /** Gives up an attempt of a failover that has replaced no other. */
  const cancelSuccessor = (successor: Attempt): void => {
    if (successor.wasSent()) {
      logAttempt(successor, 'failover ended');
      sameUpstream.observeGivenUp(successor);
      mayHaveRun = true;
    } else {
      counts.removeAttempt(successor.entry.upstream.id);
    }
    successor.cancel();
  };

  /** Cancels the current attempt; the upstream may have run the request. */
  const cancelAttempt = (): void => {
    failover.stop();
    const cancelled = current;
    current = undefined;
    if (cancelled === undefined) return;
    if (cancelled.wasSent()) mayHaveRun = true;
    cancelled.cancel();
  };

  const refuse = (refusal: Refusal): void => {
    if (hasEnded) return;
    if (response.hasStarted()) {
      response.abort();
      end(0, refusal, undefined);
      return;
    }
    if (deliverFailure !== undefined) return deliverFailure();
    options.sendRefusal(refusal);
    end(REFUSAL_STATUSES[refusal.code], refusal, undefined);
  };

  const refuseUnserved = (
    retryAfterMs = REJECTED_RETRY_MS,
    code = RefusalCode.NoUpstream,
  ): void => {
    if (mayHaveRun) refuse({code: RefusalCode.OutcomeUnknown});
    else if (getSentCount() === 0) refuse({code, retryAfterMs});
    else {
      const delayMs = options.estimateBackoffMs(getTarget()) ?? retryAfterMs;
      refuse({code: RefusalCode.Rejected, retryAfterMs: delayMs});
    }
  };

  /** Refuses the request if it ends upstreams; true if it may be sent. */
  const checkRequest = (): boolean => {
    if (isTrial) return true;
    const verdict = options.guard.checkRequest(guarded);
    isTrial = verdict.isTrial;
    if (!verdict.isRefused) return true;
    const {retryAfterMs} = verdict;
    const guardCode =
      request.promptParts.length === 0
        ? RefusalCode.DeadlyRequest
        : RefusalCode.PoisonedPrompt;
    if (mayHaveRun) refuseUnserved();
    else refuse({code: guardCode, retryAfterMs});
    return false;
  };

  const onTimeout = (): void => {
    if (current !== undefined) logAttempt(current, 'timed out');
    cancelAttempt();
    refuse({code: mayHaveRun ? RefusalCode.TimedOut : RefusalCode.NoUpstream});
  };

  /** Searches an upstream; without one, `onNone` gets the suggested delay. */
  const search = (
    isRepeat: boolean,
    onNone: (retryAfterMs?: number, code?: RefusalCode) => void,
  ): void => {
    stopSearch = options.acquireUpstream(
      getTarget(),
      entry => {
        stopSearch = undefined;
        if (hasEnded || !checkRequest()) return;
        if (!isRepeat || options.trySpendRetry(RetryPurpose.Replacement))
          startAttemptAt(entry);
        else onNone();
      },
      (retryAfterMs, code) => {
        stopSearch = undefined;
        if (!hasEnded) onNone(retryAfterMs, code);
      },
    );
  };

  const canSendAgain = (): boolean =>
    canContinue &&
    (isRepeatable || !mayHaveRun) &&
    deadlineAtMs - clock.getNowMs() > MIN_SEND_MS;

  const canTryAnother = (): boolean => canSendAgain() && hasAttemptsLeft();

  /** Sends the request again to an upstream that it has left, or refuses it. */
  const returnOrRefuse = (retryAfterMs?: number, code?: RefusalCode): void => {
    if (hasEnded) return;
    sameUpstream.takeLeft(canSendAgain(), getSentCount()).caseOf({
      Left: refusal => {
        if (response.hasStarted()) logCut(refusal);
        refuseUnserved(retryAfterMs, code);
      },
      Right: entry => {
        if (checkRequest()) startAttemptAt(entry);
      },
    });
  };

  /** Starts another attempt, or refuses the request. */
  const tryNext = (): void => {
    if (hasEnded || !checkRequest()) return;
    if (canTryAnother()) search(getSentCount() > 0, returnOrRefuse);
    else returnOrRefuse();
  };

  const recordFirstByte = (): void => {
    firstByteMs ??= clock.getNowMs() - admitted.arrivedAtMs;
  };

  /** Leaves an upstream that did not answer a resumed stream with events. */
  const leaveUnresumed = (attempt: Attempt): void => {
    logAttempt(attempt, 'not resumed');
    mayHaveRun = true;
    if (failover.handleFailure(attempt)) {
      attempt.cancel();
      return;
    }
    if (failover.replaceFailed()) return;
    cancelAttempt();
    tryNext();
  };

  const onChunk = (
    attempt: Attempt,
    head: ResponseHead,
    chunk: Buffer,
    eventId: string | undefined,
  ): void => {
    const isResumed = response.hasStarted() && startedBy !== attempt;
    if (isResumed && !isSuccess(head)) return leaveUnresumed(attempt);
    failover.handleAnswering(attempt);
    failover.stop();
    recordFirstByte();
    lastEventId = eventId ?? lastEventId;
    if (!response.hasStarted()) {
      startedBy = attempt;
      canContinue = route.kind === RequestKind.Stream && isSuccess(head);
      if (canContinue) options.onStreamBegun(attempt.entry.upstream);
      response.startStream(head, route.kind !== RequestKind.Stream);
    }
    if (!response.writeChunk(chunk)) attempt.pause();
  };

  const deliver = (
    attempt: Attempt,
    head: ResponseHead,
    body: Buffer,
    wasStreamed: boolean,
  ): void => {
    recordFirstByte();
    if (wasStreamed) response.endStream();
    else response.sendWhole(head, body);
    end(head.status, undefined, attempt.entry.upstream.id);
  };

  const onAnswer = (
    attempt: Attempt,
    head: ResponseHead,
    body: Buffer,
    wasStreamed: boolean,
  ): void => {
    const isFailure = head.status >= 500;
    if (!isFailure) options.guard.recordResponse(guarded);
    if (isFailure) options.recordFault(attempt.entry, SERVER_ERROR_FAULT);
    const isComplete = wasStreamed || isEmptySuccess(head, body);
    /** Keeps the failure for the case that there is no better response. */
    const leaveFailed = (): void => {
      logAttempt(attempt, 'failure');
      mayHaveRun = true;
      deliverFailure = () => deliver(attempt, head, body, wasStreamed);
    };
    if (response.hasStarted() && !isComplete) return leaveUnresumed(attempt);
    const mayLeave = isFailure && !response.hasStarted();
    const hasOther = (): boolean =>
      failover.handleFailure(attempt) || failover.replaceFailed();
    if (mayLeave && hasOther()) return leaveFailed();
    failover.handleAnswering(attempt);
    failover.stop();
    current = undefined;
    if (!response.hasStarted()) {
      if (!isFailure || !isRepeatable || !canTryAnother()) {
        deliver(attempt, head, body, wasStreamed);
        return;
      }
      leaveFailed();
      search(true, refuseUnserved);
      return;
    }
    deliver(attempt, head, body, true);
  };

  /** Tries another upstream, the same one after a delay, or refuses. */
  const onRejection = (
    attempt: Attempt,
    responseClass: ResponseClass,
  ): void => {
    logAttempt(attempt, responseClass);
    if (failover.handleFailure(attempt)) {
      // Its model may still have been loading, so it may be tried once more.
      if (!hasResent) counts.releaseUpstream(attempt.entry.upstream.id);
      hasResent = true;
      return;
    }
    current = undefined;
    if (failover.replaceFailed()) return;
    failover.stop();
    const mayResend = !hasResent && options.isUsable(attempt.entry);
    if (hasAttemptsLeft() || !mayResend) return tryNext();
    // The model or adapter may still have been loading; it may be ready soon.
    hasResent = true;
    sameUpstream.startWaiting(attempt.entry, isPossible => {
      if (hasEnded) return;
      const maySend =
        isPossible && checkRequest() && sameUpstream.trySpend(attempt.entry);
      if (maySend) startAttemptAt(attempt.entry);
      else returnOrRefuse();
    });
  };

  /** Tries another upstream unless this one ended under the request. */
  const retryUnlessEnded = (
    {upstream}: UpstreamEntry,
    broken: BrokenRequest,
  ): void => {
    let isDecided = false;
    const stop = options.guard.reportBroken(upstream, broken, mayRetry => {
      isDecided = true;
      stopSearch = undefined;
      if (mayRetry) tryNext();
      else refuseUnserved();
    });
    if (!isDecided) stopSearch = stop;
  };

  const onFailure = (attempt: Attempt, failure: ExchangeFailure): void => {
    const isSuccessor = failover.handleFailure(attempt);
    logAttempt(attempt, `${failure.code}: ${failure.reason}`);
    if (!isSuccessor) current = undefined;
    if (attempt.wasSent()) mayHaveRun = true;
    else counts.recordUnreachable();
    options.recordFault(attempt.entry, CONNECTION_FAULT);
    const hasFailedBefore = counts.recordFailure(attempt.entry.upstream.id);
    // An upstream that ends may still accept connections and reset them.
    const isBrokenAgain = hasFailedBefore && !attempt.hasEvents();
    if (failure.code === ExchangeFailureCode.NotConnected || isBrokenAgain)
      options.recordUnreachable(attempt.entry);
    sameUpstream.observeFailure(attempt, failure);
    const broken = observeBroken(attempt, failure);
    if (isSuccessor || failover.replaceFailed()) {
      // The other attempt goes on, so nothing waits for the verdict.
      if (broken !== undefined && attempt.wasSent()) {
        const {upstream} = attempt.entry;
        options.guard.reportBroken(upstream, broken, () => undefined);
      }
      return;
    }
    failover.stop();
    if (broken === undefined) tryNext();
    else retryUnlessEnded(attempt.entry, broken);
  };

  const sendTo = (entry: UpstreamEntry): Attempt => {
    const {upstream} = entry;
    const isResent = counts.recordAttempt(upstream.id);
    let wasStreamed = false;
    const attempt = startRequestAttempt({
      session: options,
      entry,
      isResent,
      lastEventId,
      observer: {
        onChunk: (head, chunk, eventId) => {
          wasStreamed = true;
          onChunk(attempt, head, chunk, eventId);
        },
        onAnswer: (head, body) => onAnswer(attempt, head, body, wasStreamed),
        onRejection: responseClass => onRejection(attempt, responseClass),
        onFailure: failure => onFailure(attempt, failure),
        onSent: () => failover.handleSent(entry),
        onHead: () => undefined,
        onAnswering: () => options.guard.recordAnswer(guarded),
      },
    });
    return attempt;
  };

  const startAttemptAt = (entry: UpstreamEntry): void => {
    current = sendTo(entry);
  };

  const failover = createFailover({
    session: options,
    getTarget,
    maySend: () =>
      !hasEnded && canTryAnother() && !options.guard.isBlamed(guarded),
    send: sendTo,
    cancel: cancelSuccessor,
    onReplaced: successor => {
      const replaced = current;
      current = successor;
      if (replaced === undefined) return;
      sameUpstream.observeGivenUp(replaced);
      if (replaced.wasSent()) mayHaveRun = true;
      replaced.cancel();
    },
  });

  const checkProgress = (nowMs: number): void => {
    if (hasEnded || current === undefined || !current.wasSent()) return;
    if (canTryAnother()) failover.checkProgress(current, nowMs);
  };

  const timeoutTimer = clock.startTimer(
    Math.max(0, deadlineAtMs - clock.getNowMs()),
    onTimeout,
  );

  response.onDrain(() => current?.resume());

  return {
    start: tryNext,
    checkProgress,
    refuseBlamed: () => {
      const isExempt = isTrial || current === undefined;
      if (hasEnded || isExempt || current?.isAnswering()) return;
      if (!options.guard.isBlamed(guarded)) return;
      cancelAttempt();
      refuseUnserved();
    },
    endForStop: () => {
      if (hasEnded) return;
      if (current !== undefined) logAttempt(current, 'gateway stops');
      cancelAttempt();
      refuseUnserved(SHUTDOWN_RETRY_AFTER_MS, RefusalCode.Stopping);
    },
    abandon: () => {
      if (hasEnded) return;
      cancelAttempt();
      end(0, undefined, undefined);
    },
  };
}
