/** Sends a request once more to an upstream that it was sent to before. */
import {RetryPurpose} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeFailure} from '@siskinplank/http-exchange';
import type {SessionOptions} from './session-types';
import type {Attempt} from './upstream-attempt';

/** Why a request is not sent again to an upstream that it was sent to. */
export enum ResendRefusal {
  /** It may not run again, or too little time is left. */
  NotAllowed = 'not-allowed',
  /** There is none that may be sound. */
  NoneLeft = 'none-left',
  /** It has ended, or wants no requests now. */
  NotUsable = 'not-usable',
  Unreachable = 'unreachable',
  RetryBudgetSpent = 'retry-budget-spent',
  UpstreamLimitReached = 'upstream-limit-reached',
}

/** The upstreams of one request, as far as it may be sent to them again. */
export interface SameUpstream {
  /** Notes the upstream of an attempt whose connection broke. */
  observeFailure(attempt: Attempt, failure: ExchangeFailure): void;
  /** Notes the upstream of an attempt that was given up for another one. */
  observeGivenUp(attempt: Attempt): void;
  /**
   * Returns an upstream to which the request may be sent by a new connection,
   * the one that was noted first, and spends what the request needs. It may be
   * sound, and it drops a request when its connection closes. The Left says why
   * the last one was passed over.
   *
   * @param isAllowed whether the request may run again.
   */
  takeLeft(
    isAllowed: boolean,
    sentCount: number,
  ): Either<ResendRefusal, UpstreamEntry>;
  /** Calls back after a delay: whether the upstream can get the request again. */
  startWaiting(
    entry: UpstreamEntry,
    onReady: (isPossible: boolean) => void,
  ): void;
  /** Spends what a further attempt needs; false if it is not left. */
  trySpend(entry: UpstreamEntry): boolean;
}

/** Delay before a request is sent again to the upstream that rejected it. */
const SAME_UPSTREAM_DELAY_MS = 60;

/** Creates the state of a request that was not sent yet. */
export function createSameUpstream(session: SessionOptions): SameUpstream {
  const {clock, admitted} = session;
  /** Upstreams that attempts have left, in this order. */
  const left = new Set<UpstreamEntry>();
  const returned = new Set<UpstreamEntry>();

  const noteLeft = ({entry}: Attempt): void => {
    left.delete(entry);
    left.add(entry);
  };

  const trySpend = ({upstream}: UpstreamEntry): boolean =>
    session.trySpendRetry(RetryPurpose.Replacement) &&
    session.limits.trySpend(upstream);

  const findRefusal = (entry: UpstreamEntry): ResendRefusal | undefined => {
    if (!session.isUsable(entry)) return ResendRefusal.NotUsable;
    if (entry.isUnreachable(clock.getNowMs())) return ResendRefusal.Unreachable;
    if (!session.trySpendRetry(RetryPurpose.Replacement))
      return ResendRefusal.RetryBudgetSpent;
    return session.limits.trySpend(entry.upstream)
      ? undefined
      : ResendRefusal.UpstreamLimitReached;
  };

  return {
    observeFailure: (attempt, {code, wasReused}) => {
      const isBrokenOff = code === ExchangeFailureCode.BrokenOff;
      // A kept connection may have been closed before the request arrived.
      if (isBrokenOff && (attempt.hasEvents() || wasReused)) noteLeft(attempt);
      else left.delete(attempt.entry);
    },
    observeGivenUp: noteLeft,
    takeLeft: (isAllowed, sentCount) => {
      if (!isAllowed) return Left(ResendRefusal.NotAllowed);
      let refusal = ResendRefusal.NoneLeft;
      for (const entry of left) {
        // Each upstream is no further one to the route once.
        const mayReturn =
          !returned.has(entry) || sentCount < admitted.route.maxAttempts;
        if (!mayReturn) continue;
        const found = findRefusal(entry);
        if (found === undefined) {
          left.delete(entry);
          returned.add(entry);
          return Right(entry);
        }
        refusal = found;
      }
      return Left(refusal);
    },
    startWaiting: (entry, onReady) =>
      void clock.startTimer(SAME_UPSTREAM_DELAY_MS, () => {
        const lastStartAtMs = session.getLastStartAtMs() ?? Infinity;
        const isInTime = clock.getNowMs() <= lastStartAtMs;
        onReady(isInTime && session.isUsable(entry));
      }),
    trySpend,
  };
}
