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
   * Replaces the current attempt, which has failed; false unless another one
   * was begun.
   */
  replaceFailed(): boolean;
  /** Ends it and gives up the attempts that have replaced no other. */
  stop(): void;
}

/** Fault score of an upstream that a request left for another one. */
const STALL_FAULT = 1;

/** Creates a failover that has not begun. */
export function createFailover(options: FailoverOptions): Failover {
  const {session} = options;
  const {route, request} = session.admitted;
  /** The attempt that waits, and those begun meanwhile, with their reasons. */
  let former: Attempt | undefined;
  const successors = new Map<Attempt, FailoverReason>();
  let stopSearch: (() => void) | undefined;

  const recordStall = (): void => {
    if (former !== undefined) session.recordFault(former.entry, STALL_FAULT);
  };

  const replace = (successor: Attempt, reason: FailoverReason): void => {
    successors.delete(successor);
    stopSearch?.();
    stopSearch = undefined;
    const entry = former?.entry;
    const nowMs = session.clock.getNowMs();
    session.logger.log(REQUEST_FAILED_OVER, {
      request: request.attemptId,
      upstream: entry?.upstream.id,
      successor: successor.entry.upstream.id,
      reason,
      silentMs: Math.round(former?.getIdleMs(nowMs) ?? 0),
      upstreamSilentMs: Math.round(entry?.progress.getUnansweredMs(nowMs) ?? 0),
    });
    former = successor;
    session.recordFailover(reason);
    options.onReplaced(successor);
  };

  const cancelSuccessors = (): void => {
    for (const successor of [...successors.keys()]) {
      successors.delete(successor);
      options.cancel(successor);
    }
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
        const reason = findReason(attempt, session.clock.getNowMs());
        if (reason === undefined || !options.maySend()) return;
        if (!session.trySpendRetry(RetryPurpose.Failover)) return;
        const successor = options.send(entry);
        successors.set(successor, reason);
        if (successor.wasSent()) recordStall();
      },
      decide,
    );
    if (!isDecided) stopSearch = stop;
  };

  /** Whether the newest of the other attempts may soon go on. */
  const hasResponsiveSuccessor = (nowMs: number): boolean => {
    const newest = [...successors.keys()].at(-1);
    return (
      newest !== undefined &&
      (!newest.wasSent() || findReason(newest, nowMs) === undefined)
    );
  };

  return {
    checkProgress: (attempt, nowMs) => {
      if (stopSearch !== undefined || hasResponsiveSuccessor(nowMs)) return;
      if (findReason(attempt, nowMs) === undefined) return;
      // A search may take a unit of a limit, so none is made in vain.
      if (!session.canSpendRetry(RetryPurpose.Failover)) return;
      start(attempt);
    },
    handleSent: entry => {
      if ([...successors.keys()].some(known => known.entry === entry))
        recordStall();
    },
    handleAnswering: attempt => {
      const reason = successors.get(attempt);
      if (reason === undefined) return;
      replace(attempt, reason);
      cancelSuccessors();
    },
    handleFailure: attempt => successors.delete(attempt),
    replaceFailed: () => {
      const [first] = successors;
      if (first === undefined) return false;
      replace(...first);
      return true;
    },
    stop: () => {
      stopSearch?.();
      stopSearch = undefined;
      cancelSuccessors();
    },
  };
}
