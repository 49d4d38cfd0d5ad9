/** Sends a request once more to an upstream that it was sent to before. */
import {RetryPurpose} from '@siskinplank/dispatch';
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeFailure} from '@siskinplank/http-exchange';
import {MIN_SEND_MS} from './session-types';
import type {SessionOptions} from './session-types';
import type {Attempt} from './upstream-attempt';

/** Why a request is not sent again to an upstream that it was sent to. */
export enum ResendRefusal {
  /** No other upstream has replaced it. */
  NotReplaced = 'not-replaced',
  /** It has ended, or wants no requests now. */
  NotUsable = 'not-usable',
  Unreachable = 'unreachable',
  RetryBudgetSpent = 'retry-budget-spent',
  UpstreamLimitReached = 'upstream-limit-reached',
  /** Too little time is left. */
  DeadlineReached = 'deadline-reached',
}

/** The upstreams of one request, as far as it may be sent to them again. */
export interface SameUpstream {
  /** Notes the upstream of a stream whose connection broke. */
  observeFailure(attempt: Attempt, failure: ExchangeFailure): void;
  /**
   * Returns the upstream at which the stream may go on, or undefined, and spends
   * what the request needs. The upstream may be sound, and it drops a request
   * when its connection closes.
   */
  takeBroken(sentCount: number): UpstreamEntry | undefined;
  /** Notes that another upstream replaces that of a stream, which may be sound. */
  observeReplaced(attempt: Attempt): void;
  /**
   * Returns the upstream that was replaced last and spends what the request
   * needs; the Left says why the request can't go on there.
   */
  takeReplaced(): Either<ResendRefusal, UpstreamEntry>;
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
  const {deadlineAtMs} = admitted;
  let broken: UpstreamEntry | undefined;
  let replaced: UpstreamEntry | undefined;

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
    observeFailure: (attempt, {code}) => {
      const isBrokenOff = code === ExchangeFailureCode.BrokenOff;
      if (isBrokenOff && attempt.hasEvents()) broken = attempt.entry;
    },
    takeBroken: sentCount => {
      const entry = broken;
      broken = undefined;
      const maySend =
        entry !== undefined &&
        sentCount < admitted.route.maxAttempts &&
        findRefusal(entry) === undefined;
      return maySend ? entry : undefined;
    },
    observeReplaced: attempt => {
      if (attempt.hasEvents()) replaced = attempt.entry;
    },
    takeReplaced: () => {
      const entry = replaced;
      replaced = undefined;
      if (entry === undefined) return Left(ResendRefusal.NotReplaced);
      if (deadlineAtMs - clock.getNowMs() <= MIN_SEND_MS)
        return Left(ResendRefusal.DeadlineReached);
      const refusal = findRefusal(entry);
      return refusal === undefined ? Right(entry) : Left(refusal);
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
