/** State that a coordinator keeps for one bucket. */
import type {Timer} from '@siskinplank/foundation';
import {GrantOutcome, MessageType} from '@siskinplank/messages';
import type {MessageOf} from '@siskinplank/messages';
import {LENDING_RETRY_MS} from './constants';
import type {LoanBucket} from './loan-bucket';

/** Sends the reply to a grant request. */
export type GrantReply = (grant: MessageOf<MessageType.Grant>) => void;

/** A grant request that waits for tokens. */
export interface QueuedRequest {
  requestId: string;
  /** Name and incarnation of the process that gets the grant. */
  grantee: string;
  neededTokens: number;
  wantedTokens: number;
  deadlineMs: number;
  reply: GrantReply;
}

/** The loan of one host that is applied. */
export interface AppliedLoan {
  requestId: string;
  sentMs: number;
  units: number;
  /** Time at which the loan is renewed. */
  renewMs: number;
}

/** A lender that lent nothing, and when the request is repeated. */
export interface RefusedLoan {
  count: number;
  dueMs: number;
}

/** Loans, requests and timers of one bucket; times are on the local clock. */
export interface BucketState {
  loans: LoanBucket;
  /** Unanswered lend requests by id. */
  pending: Map<string, {host: string; sentMs: number}>;
  /** Latest lend request sent to each host. */
  lastSent: Map<string, string>;
  /** Hosts that replied to no lend request since the last round began. */
  unanswered: Set<string>;
  /** Applied loan by host. */
  applied: Map<string, AppliedLoan>;
  queues: Map<string, QueuedRequest[]>;
  timers: Map<string, Timer>;
  lastDemandMs: number;
  startedMs: number;
  nextRenewMs: number;
  /** Loan duration in multiples of `limits.loanMs`. */
  periods: number;
  /** Number of hosts' first loans; spreads renewals over the periods. */
  firstLoanCount: number;
  /** Hosts that lent nothing; used when loans last several periods. */
  refused: Map<string, RefusedLoan>;
  /** Hosts that get another request before the next round. */
  retryHosts: Set<string>;
  retryTimer: Timer | undefined;
  /** Requests to hosts that lend nothing are repeated early until this time. */
  retryEndMs: number;
  /** Unanswered renewals are repeated until this time. */
  renewalRetryEndMs: number;
}

/** Creates the state of a bucket without demand. */
export function createBucketState(loans: LoanBucket): BucketState {
  return {
    loans,
    pending: new Map(),
    lastSent: new Map(),
    unanswered: new Set(),
    applied: new Map(),
    queues: new Map(),
    timers: new Map(),
    lastDemandMs: -Infinity,
    startedMs: -Infinity,
    nextRenewMs: -Infinity,
    periods: 1,
    firstLoanCount: 0,
    refused: new Map(),
    retryHosts: new Set(),
    retryTimer: undefined,
    retryEndMs: -Infinity,
    renewalRetryEndMs: -Infinity,
  };
}

/** Sum of the tokens that the requests need. */
export function sumNeeded(requests: readonly QueuedRequest[]): number {
  return requests.reduce((sum, request) => sum + request.neededTokens, 0);
}

/** Replies to a request with a grant or a refusal. */
export function replyToRequest(
  request: QueuedRequest,
  account: string,
  grant: Pick<
    MessageOf<MessageType.Grant>,
    'outcome' | 'tokens' | 'durationMs' | 'retryAfterMs'
  >,
): void {
  request.reply({
    type: MessageType.Grant,
    requestId: request.requestId,
    account,
    outcome: grant.outcome,
    tokens: grant.tokens,
    durationMs: Math.max(0, grant.durationMs),
    retryAfterMs: Math.max(0, grant.retryAfterMs),
  });
}

/** Replies to a request that gets no tokens. */
export function refuseRequest(
  request: QueuedRequest,
  account: string,
  outcome: GrantOutcome,
  retryAfterMs: number,
): void {
  replyToRequest(request, account, {
    outcome,
    tokens: 0,
    durationMs: 0,
    retryAfterMs,
  });
}

/** Refuses the queue of a bucket that another process coordinates now. */
export function refuseQueuedRequests(state: BucketState): void {
  for (const timer of state.timers.values()) timer.cancel();
  state.timers.clear();
  for (const [account, queue] of state.queues) {
    for (const request of queue) {
      const outcome = GrantOutcome.NotCoordinator;
      refuseRequest(request, account, outcome, LENDING_RETRY_MS);
    }
  }
  state.queues.clear();
}
