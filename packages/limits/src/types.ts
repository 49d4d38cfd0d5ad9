/** Interface of the token limiter of client accounts. */
import type {Either} from 'purify-ts';

/** Why a reservation was refused. */
export interface LimitRefusal {
  /** Whether the request needs more tokens than the account's burst. */
  exceedsBurst: boolean;
  /** Suggested delay before a retry, in milliseconds. */
  retryAfterMs: number;
}

/** Tokens reserved for one request until it is settled. */
export interface Reservation {
  readonly id: number;
  readonly account: string;
  readonly tokens: number;
}

/** Reserves tokens of all client accounts for one entry host. */
export interface AccountLimiter {
  start(): Promise<void>;
  /** Returns loans and releases share units, for a graceful shutdown. */
  stop(): Promise<void>;
  /** Reserves tokens; waits up to `waitMs` for a grant or accrual. */
  reserve(
    account: string,
    tokens: number,
    nowMs: number,
    waitMs: number,
  ): Promise<Either<LimitRefusal, Reservation>>;
  /** Ends a reservation; `usedTokens` is at most the reserved tokens. */
  settle(reservation: Reservation, usedTokens: number, nowMs: number): void;
}
