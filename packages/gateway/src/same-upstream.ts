/** Sends a request once more to an upstream that it was sent to before. */
import type {UpstreamEntry} from '@siskinplank/dispatch';
import {ExchangeFailureCode} from '@siskinplank/http-exchange';
import type {ExchangeFailure} from '@siskinplank/http-exchange';
import type {SessionOptions} from './session-types';
import type {Attempt} from './upstream-attempt';

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
  /** Like `takeBroken`, for the upstream that was replaced last. */
  takeReplaced(): UpstreamEntry | undefined;
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
  let broken: UpstreamEntry | undefined;
  let replaced: UpstreamEntry | undefined;

  const trySpend = ({upstream}: UpstreamEntry): boolean =>
    session.trySpendRetry() && session.limits.trySpend(upstream);

  const trySpendIfReachable = (entry: UpstreamEntry): boolean =>
    session.isUsable(entry) &&
    !entry.isUnreachable(clock.getNowMs()) &&
    trySpend(entry);

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
        trySpendIfReachable(entry);
      return maySend ? entry : undefined;
    },
    observeReplaced: attempt => {
      if (attempt.hasEvents()) replaced = attempt.entry;
    },
    takeReplaced: () => {
      const entry = replaced;
      replaced = undefined;
      const maySend = entry !== undefined && trySpendIfReachable(entry);
      return maySend ? entry : undefined;
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
