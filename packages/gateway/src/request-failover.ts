/**
 * Moves a request from an unresponsive upstream to another one. A sound upstream
 * may pause and go on, and the other one may reject the request or pause as well,
 * so the attempt at the first one is kept until the other one goes on.
 */
import {RetryPurpose, planFailover} from '@siskinplank/dispatch';
import type {FailoverReason, UpstreamEntry} from '@siskinplank/dispatch';
import {RequestKind, canRepeat} from '@siskinplank/serving';
import {REQUEST_FAILED_OVER} from './events';
import type {AttemptTarget, SessionOptions} from './session-types';
import type {Attempt} from './upstream-attempt';

/** What `createFailover` needs. */
export interface FailoverOptions {
  session: SessionOptions;
  /** Which upstreams may replace the current one. */
  getTarget(): AttemptTarget;
  /** Whether the request may be sent to the upstream that was found. */
  maySend(): boolean;
  send(entry: UpstreamEntry): Attempt;
  /** Gives up an attempt that has replaced no other. */
  cancel(successor: Attempt): void;
  /** `successor` replaces the current attempt. */
  onReplaced(successor: Attempt): void;
}

/** Failover of one request. */
export interface Failover {
  /** Starts to fail over if the attempt has been silent for too long. */
  checkProgress(attempt: Attempt, nowMs: number): void;
  /** Notes that the request was sent to the upstream. */
  handleSent(entry: UpstreamEntry): void;
  /** Notes that the upstream of an attempt works on the request. */
  handleAnswering(attempt: Attempt): void;
  /** Notes that an attempt failed; true if it has replaced no other yet. */
  handleFailure(attempt: Attempt): boolean;
  /**
   * Replaces the current attempt, which has failed; false unless the request
   * was sent to another upstream.
   */
  replaceFailed(): boolean;
  /** Ends it and gives up the attempt that has replaced no other. */
  stop(): void;
}

/** Fault score of an upstream that a request left for another one. */
const STALL_FAULT = 1;

/** Creates a failover that has not begun. */
export function createFailover(options: FailoverOptions): Failover {
  const {session} = options;
  const {route, request} = session.admitted;
  let former: Attempt | undefined;
  let reason: FailoverReason | undefined;
  let successor: Attempt | undefined;
  let stopSearch: (() => void) | undefined;

  /** Returns the attempt that has replaced no other, and forgets it. */
  const takeSuccessor = (): Attempt | undefined => {
    const attempt = successor;
    successor = undefined;
    return attempt;
  };

  const cancelSuccessor = (): void => {
    const attempt = takeSuccessor();
    if (attempt !== undefined) options.cancel(attempt);
  };

  const replace = (): void => {
    const attempt = takeSuccessor();
    if (attempt === undefined) return;
    if (former === undefined || reason === undefined) return;
    const {entry} = former;
    const nowMs = session.clock.getNowMs();
    session.logger.log(REQUEST_FAILED_OVER, {
      request: request.attemptId,
      upstream: entry.upstream.id,
      successor: attempt.entry.upstream.id,
      reason,
      silentMs: Math.round(former.getIdleMs(nowMs)),
      upstreamSilentMs: Math.round(entry.progress.getUnansweredMs(nowMs)),
    });
    session.recordFailover(reason);
    options.onReplaced(attempt);
  };

  const recordStall = (): void => {
    if (former !== undefined) session.recordFault(former.entry, STALL_FAULT);
  };

  const findReason = (
    attempt: Attempt,
    nowMs: number,
  ): FailoverReason | undefined => {
    const {progress} = attempt.entry;
    return planFailover({
      canRepeat: canRepeat(route),
      isStream: route.kind === RequestKind.Stream,
      hasReceivedEvents: attempt.hasEvents(),
      silentMs: attempt.getIdleMs(nowMs),
      upstreamSilentMs: progress.getUnansweredMs(nowMs),
      isUpstreamStalled: progress.isStalled(nowMs),
      targetLatencyMs: route.targetLatencyMs,
    });
  };

  const start = (attempt: Attempt): void => {
    former = attempt;
    let isDecided = false;
    const decide = (): void => {
      isDecided = true;
      stopSearch = undefined;
    };
    const stop = session.acquireUpstream(
      // Another upstream that is silent as well would not go on any sooner.
      {...options.getTarget(), needsActive: true},
      entry => {
        decide();
        // The upstream may have gone on while the search waited.
        reason = findReason(attempt, session.clock.getNowMs());
        if (reason === undefined) return;
        if (!options.maySend() || !session.trySpendRetry(RetryPurpose.Failover))
          return;
        successor = options.send(entry);
        if (successor.wasSent()) recordStall();
      },
      decide,
    );
    if (!isDecided) stopSearch = stop;
  };

  /** Whether the request waits for the upstream that it failed over to. */
  const hasResponsiveSuccessor = (nowMs: number): boolean =>
    successor !== undefined &&
    (!successor.wasSent() || findReason(successor, nowMs) === undefined);

  return {
    checkProgress: (attempt, nowMs) => {
      if (stopSearch !== undefined || hasResponsiveSuccessor(nowMs)) return;
      reason = findReason(attempt, nowMs);
      // A search may take a unit of a limit, so none is made in vain.
      if (reason === undefined || !session.canSpendRetry(RetryPurpose.Failover))
        return;
      cancelSuccessor();
      start(attempt);
    },
    handleSent: entry => {
      if (successor?.entry === entry) recordStall();
    },
    handleAnswering: attempt => {
      if (attempt === successor) replace();
    },
    handleFailure: attempt => {
      if (attempt !== successor) return false;
      takeSuccessor();
      return true;
    },
    replaceFailed: () => {
      if (successor?.wasSent() !== true) return false;
      replace();
      return true;
    },
    stop: () => {
      stopSearch?.();
      stopSearch = undefined;
      cancelSuccessor();
    },
  };
}
