/**
 * One caller request from its complete body to its final answer: attempts at
 * upstreams, the relay of the answer, and the answer to give when there is
 * none. What may be repeated follows from the route's kind.
 */
import {planFailover} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeFailure, ResponseHead} from '@siskinplank/http-exchange';
import {RequestKind, canRepeat} from '@siskinplank/serving';
import type {ResponseClass} from '@siskinplank/serving';
import {ATTEMPT_ENDED, REQUEST_FAILED_OVER} from './events';
import {RefusalCode} from './refusals';
import type {Refusal} from './refusals';
import type {RequestSession, SessionOptions} from './session-types';
import {startAttempt} from './upstream-attempt';
import type {Attempt} from './upstream-attempt';

/** Weights of faults: an upstream's own failure, a broken answer, silence. */
const FAILURE_FAULT = 0.15;
const BREAK_FAULT = 0.5;
const SILENCE_FAULT = 1;
/** Retry-After when upstreams rejected a request or none is left to try. */
const REJECTED_RETRY_MS = 200;
/** Pause before a request is sent again to the upstream that rejected it. */
const SAME_UPSTREAM_DELAY_MS = 60;
/** Less time than this is no use to an upstream, in milliseconds. */
const MIN_SEND_MS = 5;

/** Creates a session that does nothing before `start`. */
export function createRequestSession(options: SessionOptions): RequestSession {
  const {admitted, response, format, clock, logger} = options;
  const {request, route, deadlineAtMs} = admitted;
  const isRepeatable = canRepeat(route);
  const triedIds = new Set<string>();
  let current: Attempt | undefined;
  let sentCount = 0;
  /** Whether an earlier attempt may have run. */
  let mayHaveRun = false;
  let lastEventId: string | undefined;
  let hasEnded = false;
  let hasResent = false;
  /** Whether the next send has its place in the budget already. */
  let hasPaidRepeat = false;
  let stopSearch: (() => void) | undefined;
  let firstByteMs: number | undefined;

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
      attempts: sentCount,
      upstreamId,
      firstByteMs,
      mayHaveRun,
    });
  };

  /** Gives the current attempt up; the upstream may have run it. */
  const dropAttempt = (): void => {
    const dropped = current;
    current = undefined;
    if (dropped === undefined) return;
    if (dropped.wasSent()) mayHaveRun = true;
    dropped.cancel();
  };

  const refuse = (refusal: Refusal, status: number): void => {
    if (hasEnded) return;
    if (response.hasStarted()) {
      response.abort();
      end(0, refusal, undefined);
      return;
    }
    options.sendRefusal(refusal);
    end(status, refusal, undefined);
  };

  const refuseUnserved = (retryAfterMs = REJECTED_RETRY_MS): void => {
    if (mayHaveRun) refuse({code: RefusalCode.OutcomeUnknown}, 502);
    else if (sentCount > 0) {
      refuse({code: RefusalCode.Rejected, retryAfterMs}, 503);
    } else {
      refuse({code: RefusalCode.NoUpstream, retryAfterMs}, 503);
    }
  };

  const onTimeout = (): void => {
    dropAttempt();
    if (mayHaveRun) refuse({code: RefusalCode.TimedOut}, 504);
    else refuse({code: RefusalCode.NoUpstream}, 503);
  };

  const logAttempt = (attempt: Attempt, cause: string): void =>
    logger.log(ATTEMPT_ENDED, {
      request: request.attemptId,
      upstream: attempt.entry.upstream.id,
      attempt: sentCount,
      cause,
      status: attempt.getHead()?.status,
      open: attempt.entry.open.requests,
      leftMs: Math.round(deadlineAtMs - clock.getNowMs()),
    });

  /** Searches an upstream; `onNone` gets the advice when there is none. */
  const search = (
    isRepeat: boolean,
    onNone: (retryAfterMs: number | undefined) => void,
  ): void => {
    stopSearch = options.acquireUpstream(
      triedIds,
      entry => {
        stopSearch = undefined;
        if (hasEnded) return;
        const isPaid = !isRepeat || hasPaidRepeat || options.trySpendRetry();
        hasPaidRepeat = false;
        if (isPaid) sendTo(entry);
        else onNone(undefined);
      },
      retryAfterMs => {
        stopSearch = undefined;
        if (!hasEnded) onNone(retryAfterMs);
      },
    );
  };

  const canTryAnother = (): boolean =>
    (isRepeatable || !mayHaveRun) &&
    triedIds.size < route.maxAttempts &&
    deadlineAtMs - clock.getNowMs() > MIN_SEND_MS;

  /** Another attempt, or the final answer. */
  const tryNext = (): void => {
    if (hasEnded) return;
    if (canTryAnother()) search(sentCount > 0, refuseUnserved);
    else refuseUnserved();
  };

  const noteFirstByte = (): void => {
    firstByteMs ??= clock.getNowMs() - admitted.arrivedAtMs;
  };

  const onPiece = (
    attempt: Attempt,
    head: ResponseHead,
    piece: Buffer,
    eventId: string | undefined,
  ): void => {
    noteFirstByte();
    lastEventId = eventId ?? lastEventId;
    if (!response.hasStarted()) response.startStream(head);
    if (!response.writeChunk(piece)) attempt.pause();
  };

  const deliver = (
    attempt: Attempt,
    head: ResponseHead,
    body: Buffer,
    wasInPieces: boolean,
  ): void => {
    noteFirstByte();
    if (wasInPieces) response.endStream();
    else response.sendWhole(head, body);
    end(head.status, undefined, attempt.entry.upstream.id);
  };

  const onAnswer = (
    attempt: Attempt,
    head: ResponseHead,
    body: Buffer,
    wasInPieces: boolean,
  ): void => {
    current = undefined;
    const isFailure = head.status >= 500;
    if (isFailure) options.recordFault(attempt.entry, FAILURE_FAULT);
    if (!response.hasStarted()) {
      if (!isFailure || !isRepeatable || !canTryAnother()) {
        deliver(attempt, head, body, wasInPieces);
        return;
      }
      logAttempt(attempt, 'failure');
      mayHaveRun = true;
      search(true, () => deliver(attempt, head, body, wasInPieces));
      return;
    }
    if (wasInPieces) {
      deliver(attempt, head, body, wasInPieces);
      return;
    }
    // A resumed stream was answered otherwise after its head was sent.
    response.abort();
    const refusal = {code: RefusalCode.OutcomeUnknown};
    end(0, refusal, attempt.entry.upstream.id);
  };

  /** A request that was rejected: again there, elsewhere, or refused. */
  const onRejection = (attempt: Attempt, meaning: ResponseClass): void => {
    current = undefined;
    logAttempt(attempt, meaning);
    if (triedIds.size < route.maxAttempts || hasResent) {
      tryNext();
      return;
    }
    // The model or adapter may just have been on its way.
    hasResent = true;
    clock.startTimer(SAME_UPSTREAM_DELAY_MS, () => {
      if (hasEnded) return;
      const isPossible = options.isUsable(attempt.entry);
      if (isPossible && options.trySpendRetry()) sendTo(attempt.entry);
      else refuseUnserved();
    });
  };

  const onFailure = (attempt: Attempt, failure: ExchangeFailure): void => {
    current = undefined;
    logAttempt(attempt, `${failure.code}: ${failure.reason}`);
    if (attempt.wasSent()) mayHaveRun = true;
    else sentCount -= 1;
    options.recordFault(attempt.entry, BREAK_FAULT);
    if (failure.code === ExchangeFailureCode.NotConnected) {
      options.recordUnreachable(attempt.entry);
    }
    tryNext();
  };

  const sendTo = (entry: UpstreamEntry): void => {
    const {upstream} = entry;
    triedIds.add(upstream.id);
    sentCount += 1;
    const headers = format.encodeUpstreamHeaders(request, {
      upstreamId: upstream.id,
      account: admitted.account?.name,
      deadlineMs: deadlineAtMs - clock.getNowMs(),
      rank: undefined,
      lastEventId,
    });
    let wasInPieces = false;
    const attempt = startAttempt({
      entry,
      open: options.recordOpen(entry),
      request: {
        method: request.method,
        target: request.target,
        headers,
        body: admitted.body,
      },
      model: request.model,
      isStream: route.kind === RequestKind.Stream,
      pool: options.pool,
      clock,
      resolveResponseClass: ({status, headers: answered}) =>
        format.resolveResponseClass(status, answered, request.attemptId),
      observer: {
        onChunk: (head, piece, eventId) => {
          wasInPieces = true;
          onPiece(attempt, head, piece, eventId);
        },
        onAnswer: (head, body) => onAnswer(attempt, head, body, wasInPieces),
        onRejection: meaning => onRejection(attempt, meaning),
        onFailure: failure => onFailure(attempt, failure),
      },
    });
    current = attempt;
  };

  const checkProgress = (nowMs: number): void => {
    const attempt = current;
    if (hasEnded || attempt === undefined || !attempt.wasSent()) return;
    if (triedIds.size >= route.maxAttempts) return;
    const {progress, upstream} = attempt.entry;
    const silentMs = attempt.getIdleMs(nowMs);
    const upstreamSilentMs = progress.getUnansweredMs(nowMs);
    const reason = planFailover({
      canRepeat: isRepeatable,
      isStream: route.kind === RequestKind.Stream,
      hasReceivedEvents: attempt.hasEvents(),
      silentMs,
      upstreamSilentMs,
      isUpstreamStalled: progress.isStalled(nowMs),
      targetLatencyMs: route.targetLatencyMs,
    });
    if (reason === undefined || !options.trySpendRetry()) return;
    logger.log(REQUEST_FAILED_OVER, {
      request: request.attemptId,
      upstream: upstream.id,
      reason,
      silentMs: Math.round(silentMs),
      upstreamSilentMs: Math.round(upstreamSilentMs),
      lastEventId,
    });
    options.recordFailover(reason);
    options.recordFault(attempt.entry, SILENCE_FAULT);
    hasPaidRepeat = true;
    dropAttempt();
    tryNext();
  };

  const timeoutTimer = clock.startTimer(
    Math.max(0, deadlineAtMs - clock.getNowMs()),
    onTimeout,
  );

  response.onDrain(() => current?.resume());

  return {
    start: tryNext,
    checkProgress,
    abandon: () => {
      if (hasEnded) return;
      dropAttempt();
      end(0, undefined, undefined);
    },
  };
}
