/** Enforces the limits of client accounts. */
import {startWaitTimer} from '@siskinplank/foundation';
import type {Clock} from '@siskinplank/foundation';
import type {CallerRequest, ClientAccount} from '@siskinplank/serving';
import {SpendResult} from '@siskinplank/token-shares';
import type {LimitReadings, TokenShares} from '@siskinplank/token-shares';
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';

/** Why a request is over the limit. */
export interface LimitRefusal {
  retryAfterMs: number;
  readings: LimitReadings;
}

/** Takes tokens from the limits of accounts. */
export interface AccountLimiter {
  /**
   * Takes the tokens of a request, or calls back with a refusal; waits up to
   * `MAX_WAIT_MS` for tokens of other gateways.
   */
  take(
    account: ClientAccount,
    request: CallerRequest,
    onResult: (result: Either<LimitRefusal, number>) => void,
  ): void;
  /** Returns the tokens of a request that has not run. */
  refund(account: ClientAccount, tokens: number): void;
  /** Tries waiting requests again, after tokens have arrived. */
  retryWaiting(): void;
}

/** What `createAccountLimiter` needs. */
export interface AccountLimiterOptions {
  shares: TokenShares;
  clock: Clock;
  /** Called when a request needs tokens that other gateways hold. */
  onTokensNeeded(): void;
}

/** Maximum wait for tokens of other gateways: a few round trips. */
const MAX_WAIT_MS = 150;
const MIN_RETRY_AFTER_MS = 100;

interface WaitingRequest {
  account: string;
  tokens: number;
  endsAtMs: number;
  onResult: (result: Either<LimitRefusal, number>) => void;
}

/** Tokens charged to the account; 1 if its limit counts requests. */
export function countTokens(
  account: ClientAccount,
  request: CallerRequest,
): number {
  if (!account.countsTokens) return 1;
  const {promptTokens, maxOutputTokens} = request;
  if (promptTokens === undefined || maxOutputTokens === undefined) {
    return account.defaultRequestTokens;
  }
  return promptTokens + maxOutputTokens;
}

/** Creates a limiter without waiting requests. */
export function createAccountLimiter(
  options: AccountLimiterOptions,
): AccountLimiter {
  const {shares, clock} = options;
  const waiting = new Set<WaitingRequest>();

  const makeRefusal = (
    account: string,
    tokens: number,
    nowMs: number,
  ): LimitRefusal => ({
    retryAfterMs: Math.max(
      MIN_RETRY_AFTER_MS,
      shares.estimateWaitMs(account, tokens, nowMs),
    ),
    readings: shares.describeLimit(account, nowMs),
  });

  const retryRequest = (item: WaitingRequest, nowMs: number): void => {
    shares.removeWaiting(item.account, item.tokens);
    const result = shares.retry(item.account, item.tokens, nowMs);
    if (result === SpendResult.Pending && nowMs < item.endsAtMs) {
      shares.addWaiting(item.account, item.tokens);
      return;
    }
    waiting.delete(item);
    item.onResult(
      result === SpendResult.Spent
        ? Right(item.tokens)
        : Left(makeRefusal(item.account, item.tokens, nowMs)),
    );
  };

  const retryWaiting = (): void => {
    const nowMs = clock.getNowMs();
    for (const item of [...waiting]) retryRequest(item, nowMs);
  };

  return {
    take: (account, request, onResult) => {
      const nowMs = clock.getNowMs();
      const tokens = countTokens(account, request);
      const result = shares.spend(account.name, tokens, nowMs);
      if (result === SpendResult.Spent) {
        onResult(Right(tokens));
        return;
      }
      if (result === SpendResult.OverLimit) {
        onResult(Left(makeRefusal(account.name, tokens, nowMs)));
        return;
      }
      waiting.add({
        account: account.name,
        tokens,
        endsAtMs: nowMs + MAX_WAIT_MS,
        onResult,
      });
      shares.addWaiting(account.name, tokens);
      options.onTokensNeeded();
      startWaitTimer(clock, MAX_WAIT_MS, retryWaiting);
    },
    refund: (account, tokens) =>
      shares.refund(account.name, tokens, clock.getNowMs()),
    retryWaiting,
  };
}
