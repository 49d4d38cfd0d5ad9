/** Reserves the tokens of a request and settles them when it has ended. */
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

/** Token reservation of an admitted request. */
export interface Admission {
  /**
   * Reserves the tokens again for a retry, and charges those of the attempt
   * before it, which may have run. Resolves to false if the limit is reached.
   */
  reserveRetry(): Promise<boolean>;
  /** Settles the reservation once; further calls have no effect. */
  settle(outcome: Either<Refusal, DispatchSuccess>): void;
}

/**
 * Longest wait for tokens beyond the estimate. They have been generated
 * already, so later requests of the account wait until they are charged.
 */
const EXCESS_WAIT_MS = 60_000;

/**
 * Reserves the estimated tokens; waits at most `waitMs` and until the deadline.
 * Otherwise refuses with `RateLimited` and a suggested retry delay, or with
 * `TooLargeForBurst`. Requests without an account or without tokens need no
 * reservation.
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
    maxWaitMs: number,
  ): Promise<Either<LimitRefusal, Reservation>> => {
    const nowMs = clock.getNowMs();
    const leftMs = Math.max(0, request.deadlineAtMs - nowMs);
    return limiter.reserve(account, amount, nowMs, Math.min(maxWaitMs, leftMs));
  };
  /** Charges tokens that were generated beyond the reservation. */
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
      const retryReservation = await reserve(tokens, waitMs);
      if (retryReservation.isLeft()) return false;
      limiter.settle(current, tokens, clock.getNowMs());
      current = retryReservation.unsafeCoerce();
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

/** Counts the used tokens; unknown usage counts as all reserved tokens. */
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
