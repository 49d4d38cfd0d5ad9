/** Rounds of lend requests of a coordinator, their repeats and their end. */
import type {Clock} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {BucketState} from './bucket-state';
import {LENDING_RETRY_MS, LOAN_ROUND_TIMEOUT_MS} from './constants';
import type {CoordinatorOptions} from './coordinator';
import {isLoanDue, recordRefusal, takeRefusedLenders} from './loan-rounds';
import {countLoanPeriods} from './loan-times';

/** Parts that a loan requester is built from. */
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
  /** Whether this process coordinates the bucket and does not stop. */
  isActive: (bucket: number, nowMs: number) => boolean;
}

/** Asks lenders for loans and gives loans back. */
export interface LoanRequester {
  /** Starts a round: asks the lenders whose loans are due. */
  requestLoans(bucket: number, state: BucketState, nowMs: number): void;
  /** Asks a lender again before the next round. */
  scheduleRetry(bucket: number, state: BucketState, host: string): void;
  /** Asks a lender again that is bound to another coordinator for `boundMs`. */
  scheduleRefusalRetry(
    bucket: number,
    state: BucketState,
    host: string,
    boundMs: number,
    nowMs: number,
  ): void;
  /** Whether loans that were asked for may still arrive. */
  isStarting(state: BucketState, nowMs: number): boolean;
  /** Gives all loans back with each lender's part of the levels. */
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

  /** Whether lenders without a loan are asked again before the renewal. */
  const isRepeating = (state: BucketState, nowMs: number): boolean =>
    (state.unanswered.size > 0 &&
      nowMs < Math.max(state.renewalRetryEndMs, state.retryEndMs)) ||
    (state.refused.size > 0 && nowMs < state.retryEndMs);

  /**
   * Asks some lenders before the next renewal: those bound to the coordinator
   * before this one, whose loans come back within moments, those that wait to
   * hear that a smaller loan counts before they give units up, those that did
   * not answer, and those that this process has learned of since. The link to
   * a lender may not be open yet when its process has just started, and the
   * renewal comes after `limits.reserveWaitMs`.
   */
  const askRetryHosts = (bucket: number, state: BucketState): void => {
    const nowMs = clock.getNowMs();
    state.retryTimer = undefined;
    if (!options.isActive(bucket, nowMs)) return;
    const asked = new Set([
      ...state.retryHosts,
      ...takeRefusedLenders(state, nowMs, options.loanRenewMs),
      ...(isRepeating(state, nowMs) ? state.unanswered : []),
    ]);
    const isNew = (host: string): boolean =>
      nowMs < state.retryEndMs && !state.lastSent.has(host);
    const hosts = options
      .listLenders(nowMs)
      .filter(host => asked.has(host) || isNew(host));
    state.retryHosts.clear();
    sendLendRequests(bucket, state, hosts, nowMs);
    if (isRepeating(state, nowMs)) startRetryTimer(bucket, state);
  };

  const startRetryTimer = (bucket: number, state: BucketState): void => {
    state.retryTimer ??= clock.startTimer(LENDING_RETRY_MS, () =>
      askRetryHosts(bucket, state),
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
    // The own loan arrives at once, before the replies of other lenders.
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
