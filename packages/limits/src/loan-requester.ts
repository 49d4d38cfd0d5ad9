/** Sends a coordinator's lend requests in rounds, with retries, and returns. */
import type {Clock} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {BucketState} from './bucket-state';
import {LENDING_RETRY_MS, LOAN_ROUND_TIMEOUT_MS} from './constants';
import type {CoordinatorOptions} from './coordinator';
import {isLoanDue, recordRefusal, takeRefusedLenders} from './loan-rounds';
import {countLoanPeriods} from './loan-times';

/** Dependencies of a loan requester. */
export interface LoanRequesterOptions extends Pick<
  CoordinatorOptions,
  | 'loanMs'
  | 'loanRenewMs'
  | 'lendersPerPeriod'
  | 'makeRequestId'
  | 'listLenders'
  | 'sendTo'
> {
  clock: Clock;
  /** Whether this process coordinates the bucket and is not stopping. */
  isActive: (bucket: number, nowMs: number) => boolean;
}

/** Requests loans from lenders and returns them. */
export interface LoanRequester {
  /** Starts a round: sends requests to lenders whose loans are due. */
  requestLoans(bucket: number, state: BucketState, nowMs: number): void;
  /** Schedules another request to a lender before the next round. */
  scheduleRetry(bucket: number, state: BucketState, host: string): void;
  /** Schedules a retry for a lender bound to another coordinator. */
  scheduleRefusalRetry(
    bucket: number,
    state: BucketState,
    host: string,
    boundMs: number,
    nowMs: number,
  ): void;
  /** Whether requested loans may still arrive. */
  isStarting(state: BucketState, nowMs: number): boolean;
  /** Returns all loans, each with the lender's part of the token levels. */
  returnLoans(bucket: number, state: BucketState, nowMs: number): void;
}

/** Creates the requester of one process. */
export function createLoanRequester(
  options: LoanRequesterOptions,
): LoanRequester {
  const {clock} = options;

  const sendLendRequests = (
    bucket: number,
    state: BucketState,
    hosts: Iterable<string>,
    nowMs: number,
  ): void => {
    const isWithinLoans = state.loans.isWithinLoans();
    for (const host of hosts) {
      const requestId = options.makeRequestId();
      const appliedRequestId = isWithinLoans
        ? state.applied.get(host)?.requestId
        : undefined;
      state.pending.set(requestId, {host, sentMs: nowMs});
      state.lastSent.set(host, requestId);
      state.unanswered.add(host);
      options.sendTo(host, {
        type: MessageType.LendRequest,
        requestId,
        bucket,
        durationMs: options.loanMs * state.periods,
        ...(appliedRequestId === undefined ? {} : {appliedRequestId}),
      });
    }
  };

  const requestLoans = (
    bucket: number,
    state: BucketState,
    nowMs: number,
  ): void => {
    const lenders = options.listLenders(nowMs);
    state.retryTimer?.cancel();
    state.retryTimer = undefined;
    state.periods = countLoanPeriods(lenders.length, options.lendersPerPeriod);
    state.nextRenewMs = nowMs + options.loanRenewMs;
    state.renewalRetryEndMs = nowMs + LOAN_ROUND_TIMEOUT_MS;
    if (!state.loans.hasLoans()) {
      state.startedMs = nowMs;
      state.retryEndMs = nowMs + options.loanMs * state.periods;
    }
    if (nowMs >= state.retryEndMs) state.refused.clear();
    state.retryHosts.clear();
    state.unanswered.clear();
    for (const [requestId, request] of state.pending) {
      if (nowMs - request.sentMs >= options.loanMs) {
        state.pending.delete(requestId);
      }
    }
    const due = lenders.filter(host =>
      isLoanDue(state, host, nowMs, options.loanRenewMs),
    );
    sendLendRequests(bucket, state, due, nowMs);
    startRetryTimer(bucket, state);
  };

  /** Whether requests are repeated before the next round. */
  const hasLendersToRetry = (state: BucketState, nowMs: number): boolean =>
    (state.unanswered.size > 0 &&
      nowMs < Math.max(state.renewalRetryEndMs, state.retryEndMs)) ||
    (state.refused.size > 0 && nowMs < state.retryEndMs);

  /**
   * Repeats lend requests before the next round, because that round comes
   * after `limits.reserveWaitMs`. Requests go to:
   * - lenders bound to the previous coordinator, which returns its loans soon;
   * - lenders that need a confirmation that a smaller loan is applied before
   *   they release units;
   * - lenders that did not reply, for example because the link to a process
   *   that has just started is not open yet;
   * - lenders that this process discovered since the round.
   */
  const sendRetries = (bucket: number, state: BucketState): void => {
    const nowMs = clock.getNowMs();
    state.retryTimer = undefined;
    if (!options.isActive(bucket, nowMs)) return;
    const asked = new Set([
      ...state.retryHosts,
      ...takeRefusedLenders(state, nowMs, options.loanRenewMs),
      ...(hasLendersToRetry(state, nowMs) ? state.unanswered : []),
    ]);
    const isNew = (host: string): boolean =>
      nowMs < state.retryEndMs && !state.lastSent.has(host);
    const hosts = options
      .listLenders(nowMs)
      .filter(host => asked.has(host) || isNew(host));
    state.retryHosts.clear();
    sendLendRequests(bucket, state, hosts, nowMs);
    if (hasLendersToRetry(state, nowMs)) startRetryTimer(bucket, state);
  };

  const startRetryTimer = (bucket: number, state: BucketState): void => {
    state.retryTimer ??= clock.startTimer(LENDING_RETRY_MS, () =>
      sendRetries(bucket, state),
    );
  };

  const scheduleRetry = (
    bucket: number,
    state: BucketState,
    host: string,
  ): void => {
    state.retryHosts.add(host);
    startRetryTimer(bucket, state);
  };

  const scheduleRefused = (
    bucket: number,
    state: BucketState,
    host: string,
    boundMs: number,
    nowMs: number,
  ): void => {
    if (state.periods === 1) {
      scheduleRetry(bucket, state, host);
      return;
    }
    recordRefusal(state, host, boundMs, nowMs);
    startRetryTimer(bucket, state);
  };

  const isStarting = (state: BucketState, nowMs: number): boolean =>
    nowMs - state.startedMs < LOAN_ROUND_TIMEOUT_MS ||
    state.retryTimer !== undefined ||
    // The local loan is applied at once, before other lenders reply.
    (state.unanswered.size > 0 && nowMs < state.retryEndMs);

  const returnLoans = (
    bucket: number,
    state: BucketState,
    nowMs: number,
  ): void => {
    state.pending.clear();
    for (const [lender, tokens] of state.loans.releaseLoans(nowMs)) {
      const [host] = lender.split('/');
      options.sendTo(host, {
        type: MessageType.LoanReturn,
        bucket,
        requestId: state.lastSent.get(host) ?? '',
        returnedTokens: tokens,
      });
    }
    state.lastSent.clear();
    state.unanswered.clear();
    state.applied.clear();
    state.refused.clear();
  };

  return {
    requestLoans,
    scheduleRetry,
    scheduleRefusalRetry: scheduleRefused,
    isStarting,
    returnLoans,
  };
}
