/** Coordinator of buckets: borrows share units and grants tokens on demand. */
import type {Clock, Logger} from '@siskinplank/foundation';
import {GrantOutcome, MessageType} from '@siskinplank/messages';
import type {MessageOf} from '@siskinplank/messages';
import type {ClientAccount} from '@siskinplank/resources';
import {
  createBucketState,
  refuseQueuedRequests,
  refuseRequest,
  replyToRequest,
  sumNeeded,
} from './bucket-state';
import type {BucketState, GrantReply, QueuedRequest} from './bucket-state';
import {
  BUCKET_IDLE_MS,
  LENDING_RETRY_MS,
  LOAN_ROUND_TIMEOUT_MS,
  TOKEN_EPSILON,
} from './constants';
import {LIMIT_EVENTS} from './events';
import {createLoanBucket} from './loan-bucket';
import {createLoanRequester} from './loan-requester';
import {recordLoan} from './loan-rounds';
import {planRenewal} from './loan-times';

/** Dependencies of a coordinator. */
export interface CoordinatorOptions {
  bucketCount: number;
  /** Loan duration and renewal period with at most `lendersPerPeriod` hosts. */
  loanMs: number;
  loanRenewMs: number;
  /** Number of lenders that adds another renewal period to a loan. */
  lendersPerPeriod: number;
  reserveWaitMs: number;
  clock: Clock;
  logger: Logger;
  getAccount: (name: string) => ClientAccount | undefined;
  getBucket: (account: string) => number;
  makeRequestId: () => string;
  /** Entry hosts that may lend, including this one. */
  listLenders: (nowMs: number) => readonly string[];
  isCoordinator: (bucket: number, nowMs: number) => boolean;
  /** Sends to the process on `host`, which may be this one. */
  sendTo: (
    host: string,
    message: MessageOf<MessageType.LendRequest | MessageType.LoanReturn>,
  ) => void;
}

/** Handles the messages and loans of the buckets a process coordinates. */
export interface Coordinator {
  handleGrantRequest(
    grantee: string,
    message: MessageOf<MessageType.GrantRequest>,
    reply: GrantReply,
    nowMs: number,
  ): void;
  handleGrantReturn(
    grantee: string,
    message: MessageOf<MessageType.GrantReturn>,
    nowMs: number,
  ): void;
  /** Applies the loan or refusal of the process `incarnation` on `host`. */
  handleLoan(
    host: string,
    incarnation: string,
    message: MessageOf<MessageType.Loan>,
    nowMs: number,
  ): void;
  /** Renews loans, and returns those that are no longer needed. */
  tick(nowMs: number): void;
  refreshAll(nowMs: number): void;
  /** Refuses waiting requests, returns the loans without active grants. */
  stop(nowMs: number): void;
}

/** Creates the coordinator of one process. */
export function createCoordinator(options: CoordinatorOptions): Coordinator {
  const {clock, logger, getAccount} = options;
  const states = new Map<number, BucketState>();
  let isStopped = false;

  const ensureState = (bucket: number): BucketState => {
    const known = states.get(bucket);
    if (known !== undefined) return known;
    const loans = createLoanBucket({
      getAccount,
      onLoanDropped: lender =>
        logger.log(LIMIT_EVENTS.loanDropped, {bucket, lender}),
    });
    const state = createBucketState(loans);
    states.set(bucket, state);
    return state;
  };

  const loanRequester = createLoanRequester({
    ...options,
    isActive: (bucket, nowMs) =>
      !isStopped && options.isCoordinator(bucket, nowMs),
  });

  /** Refuses requests that cannot be served before their deadline. */
  const refuseUnservable = (
    state: BucketState,
    account: string,
    queue: QueuedRequest[],
    nowMs: number,
  ): void => {
    const pool = state.loans.getPool(account, nowMs);
    const {capTokens, tokensPerMs} = pool?.getLimits() ?? {
      capTokens: 0,
      tokensPerMs: 0,
    };
    const fullRate = (getAccount(account)?.rateTokensPerSecond ?? 0) / 1_000;
    let missing = -(pool?.getLevel() ?? 0);
    for (const request of [...queue]) {
      const shortage = missing + request.neededTokens;
      const fits = request.neededTokens <= capTokens + TOKEN_EPSILON;
      const waitMs =
        fits && tokensPerMs > 0 ? shortage / tokensPerMs : Infinity;
      const isUnservable =
        nowMs >= request.deadlineMs ||
        (!loanRequester.isStarting(state, nowMs) &&
          nowMs + waitMs > request.deadlineMs);
      if (!isUnservable) {
        missing = shortage;
        continue;
      }
      queue.splice(queue.indexOf(request), 1);
      const suggestedRetryMs =
        fullRate > 0 ? shortage / fullRate : options.loanRenewMs;
      refuseRequest(
        request,
        account,
        GrantOutcome.Refused,
        fits ? suggestedRetryMs : options.loanRenewMs,
      );
    }
  };

  /** Serves waiting requests of an account in the order of arrival. */
  const serveQueue = (
    state: BucketState,
    account: string,
    nowMs: number,
  ): void => {
    state.timers.get(account)?.cancel();
    state.timers.delete(account);
    const queue = state.queues.get(account);
    if (queue === undefined) return;
    state.loans.refresh(nowMs);
    for (;;) {
      const head = queue[0];
      const pool = state.loans.getPool(account, nowMs);
      if (head === undefined || pool === undefined) break;
      const durationMs = state.loans.getFirstEndMs() - nowMs;
      const level = pool.getLevel();
      if (!state.loans.hasLoans() || durationMs <= 0) break;
      if (level + TOKEN_EPSILON < head.neededTokens) break;
      queue.shift();
      const spare = Math.max(0, level - head.neededTokens - sumNeeded(queue));
      const extra = Math.min(head.wantedTokens, spare);
      const tokens = Math.min(level, head.neededTokens + extra);
      state.loans.issueGrant(
        head.requestId,
        head.grantee,
        account,
        tokens,
        nowMs,
      );
      replyToRequest(head, account, {
        outcome: GrantOutcome.Granted,
        tokens,
        durationMs,
        retryAfterMs: 0,
      });
    }
    refuseUnservable(state, account, queue, nowMs);
    const head = queue[0];
    if (head === undefined) {
      state.queues.delete(account);
      return;
    }
    const pool = state.loans.getPool(account, nowMs);
    const tokensPerMs = pool?.getLimits().tokensPerMs ?? 0;
    const missing = head.neededTokens - (pool?.getLevel() ?? 0);
    const refillMs = tokensPerMs > 0 ? missing / tokensPerMs : Infinity;
    const startMs = loanRequester.isStarting(state, nowMs)
      ? Math.max(
          state.startedMs + LOAN_ROUND_TIMEOUT_MS - nowMs,
          LENDING_RETRY_MS,
        )
      : Infinity;
    const delayMs = Math.min(refillMs, head.deadlineMs - nowMs, startMs);
    const timer = clock.startTimer(Math.max(1, Math.ceil(delayMs)), () =>
      serveQueue(state, account, clock.getNowMs()),
    );
    state.timers.set(account, timer);
  };

  const serveBucket = (state: BucketState, nowMs: number): void => {
    for (const account of [...state.queues.keys()]) {
      serveQueue(state, account, nowMs);
    }
  };

  const tickBucket = (
    bucket: number,
    state: BucketState,
    nowMs: number,
  ): void => {
    state.loans.refresh(nowMs);
    const isCoordinating = !isStopped && options.isCoordinator(bucket, nowMs);
    if (!isCoordinating) refuseQueuedRequests(state);
    if (isCoordinating && nowMs - state.lastDemandMs < BUCKET_IDLE_MS) {
      if (nowMs >= state.nextRenewMs)
        loanRequester.requestLoans(bucket, state, nowMs);
    } else if (state.loans.hasLoans() && state.loans.isSettled()) {
      loanRequester.returnLoans(bucket, state, nowMs);
    }
    serveBucket(state, nowMs);
  };

  return {
    handleGrantRequest: (grantee, message, reply, nowMs) => {
      const bucket = options.getBucket(message.account);
      const state = ensureState(bucket);
      for (const report of message.reports) {
        state.loans.applyReport(grantee, report, nowMs);
      }
      const request: QueuedRequest = {
        requestId: message.requestId,
        grantee,
        neededTokens: message.neededTokens,
        wantedTokens: message.wantedTokens,
        deadlineMs: nowMs + options.reserveWaitMs,
        reply,
      };
      const isCoordinating = !isStopped && options.isCoordinator(bucket, nowMs);
      if (!isCoordinating || getAccount(message.account) === undefined) {
        const outcome = isCoordinating
          ? GrantOutcome.Refused
          : GrantOutcome.NotCoordinator;
        refuseRequest(request, message.account, outcome, options.loanRenewMs);
        return;
      }
      state.lastDemandMs = nowMs;
      const queue = state.queues.get(message.account) ?? [];
      state.queues.set(message.account, queue);
      queue.push(request);
      if (nowMs >= state.nextRenewMs)
        loanRequester.requestLoans(bucket, state, nowMs);
      serveQueue(state, message.account, nowMs);
    },
    handleGrantReturn: (grantee, message, nowMs) => {
      const bucket = options.getBucket(message.account);
      const state = states.get(bucket);
      if (state === undefined) return;
      for (const report of message.reports) {
        state.loans.applyReport(grantee, report, nowMs);
      }
      // The next coordinator needs the loans, so they are returned at once.
      tickBucket(bucket, state, nowMs);
    },
    handleLoan: (host, incarnation, message, nowMs) => {
      const state = states.get(message.bucket);
      const request = state?.pending.get(message.requestId);
      if (state === undefined || request === undefined) return;
      if (request.host !== host) return;
      state.pending.delete(message.requestId);
      state.unanswered.delete(host);
      const endMs = request.sentMs + message.durationMs;
      const {requestId, units, unitCount, lentTokens} = message;
      if (units === 0) {
        if (nowMs < state.retryEndMs) {
          const boundMs = message.durationMs;
          loanRequester.scheduleRefusalRetry(
            message.bucket,
            state,
            host,
            boundMs,
            nowMs,
          );
        }
        return;
      }
      state.refused.delete(host);
      if (nowMs >= endMs) return;
      const {sentMs} = request;
      const {loanMs, loanRenewMs} = options;
      const loan = {requestId, units, sentMs};
      const renewal = planRenewal(message.durationMs, loanMs, loanRenewMs);
      if (recordLoan(state, host, loan, renewal.periods, loanRenewMs)) {
        loanRequester.scheduleRetry(message.bucket, state, host);
      }
      state.loans.applyLoan(
        `${host}/${incarnation}`,
        {...renewal, units, unitCount, endMs, renewedMs: sentMs},
        lentTokens,
        nowMs,
      );
      serveBucket(state, nowMs);
    },
    tick: nowMs => {
      for (const [bucket, state] of states) tickBucket(bucket, state, nowMs);
    },
    refreshAll: nowMs => {
      for (const state of states.values()) state.loans.refresh(nowMs);
    },
    stop: nowMs => {
      isStopped = true;
      for (const [bucket, state] of states) {
        state.retryTimer?.cancel();
        state.retryTimer = undefined;
        tickBucket(bucket, state, nowMs);
      }
    },
  };
}
