/** Reserves a request's tokens and settles them when it has ended. */
import {Left, Right} from 'purify-ts';
import type {Either} from 'purify-ts';
import type {Clock} from '@siskinplank/foundation';
import type {
  AccountLimiter,
  LimitRefusal,
  Reservation,
} from '@siskinplank/limits';
import {RefusalCode, RunState} from '@siskinplank/resources';
import type {DispatchSuccess} from '../requests/dispatch';
import type {CallerRequest} from '../requests/types';
import {makeRefusal} from '../refusals';
import type {Refusal} from '../refusals';

/** Tokens set aside for one request. */
export interface Admission {
  /**
   * Sets the tokens aside once more, for an attempt after one that may have
   * generated tokens already; false when the limit does not allow it.
   */
  reserveRetry(): Promise<boolean>;
  /** Settles the reservation once; further calls have no effect. */
  settle(outcome: Either<Refusal, DispatchSuccess>): void;
}

/**
 * Time that tokens beyond an estimate may take to become available. They have
 * been generated already and are paid from the rate before later requests.
 */
const EXCESS_WAIT_MS = 60_000;

/**
 * Reserves the estimated tokens within `waitMs` and the deadline, or refuses
 * with `RateLimited` and the time to wait, or with `TooLargeForBurst`. Requests
 * without an account or without tokens need no reservation.
 */
export async function admitRequest(
  request: CallerRequest,
  limiter: AccountLimiter,
  clock: Clock,
  waitMs: number,
): Promise<Either<Refusal, Admission>> {
  const account = request.identity?.account.name;
  const tokens = request.estimatedTokens;
  if (account === undefined || tokens === 0) {
    return Right({
      reserveRetry: () => Promise.resolve(true),
      settle: () => undefined,
    });
  }
  const reserve = (
    amount: number,
    longestWaitMs: number,
  ): Promise<Either<LimitRefusal, Reservation>> => {
    const nowMs = clock.getNowMs();
    const leftMs = Math.max(0, request.deadlineAtMs - nowMs);
    return limiter.reserve(
      account,
      amount,
      nowMs,
      Math.min(longestWaitMs, leftMs),
    );
  };
  /** Pays for tokens that were generated beyond what was reserved. */
  const chargeTokens = async (amount: number): Promise<void> => {
    const nowMs = clock.getNowMs();
    const result = await limiter.reserve(
      account,
      amount,
      nowMs,
      EXCESS_WAIT_MS,
    );
    result.ifRight(reservation =>
      limiter.settle(reservation, amount, clock.getNowMs()),
    );
  };
  const result = await reserve(tokens, waitMs);
  if (result.isLeft()) return Left(makeLimitRefusal(result.extract(), tokens));
  let current = result.unsafeCoerce();
  let isSettled = false;
  return Right({
    reserveRetry: async () => {
      const repeat = await reserve(tokens, waitMs);
      if (repeat.isLeft()) return false;
      limiter.settle(current, tokens, clock.getNowMs());
      current = repeat.unsafeCoerce();
      return true;
    },
    settle: outcome => {
      if (isSettled) return;
      isSettled = true;
      const used = countUsed(outcome, tokens);
      limiter.settle(current, Math.min(used, tokens), clock.getNowMs());
      if (used > tokens) void chargeTokens(used - tokens);
    },
  });
}

function makeLimitRefusal(refusal: LimitRefusal, tokens: number): Refusal {
  if (refusal.exceedsBurst) {
    return makeRefusal(
      RefusalCode.TooLargeForBurst,
      `The request needs about ${tokens} tokens, which is more than the burst of the client account.`,
    );
  }
  return makeRefusal(
    RefusalCode.RateLimited,
    'The rate limit of the client account is reached.',
    {retryAfterMs: refusal.retryAfterMs},
  );
}

/** Unknown usage counts as all that was reserved. */
function countUsed(
  outcome: Either<Refusal, DispatchSuccess>,
  reserved: number,
): number {
  if (outcome.isLeft()) {
    return outcome.extract().runState === RunState.NotRun ? 0 : reserved;
  }
  const {usage} = outcome.unsafeCoerce();
  if (usage === undefined) return reserved;
  return usage.promptTokens + usage.completionTokens;
}
