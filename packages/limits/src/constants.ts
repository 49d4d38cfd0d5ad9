/** Fixed durations and sizes of the limiter. */

/** Name of the only ShareTable object. */
export const SHARE_TABLE_NAME = 'fleet';

/**
 * Renewals within one share lease. A holder keeps its units through any outage
 * of the platform of up to five sixths of the lease.
 */
export const RENEWALS_PER_LEASE = 6;

/** The delay between renewal retries is at most the lease divided by this. */
export const RETRIES_PER_LEASE = 20;

/** Interval of the check whether the share table needs an update. */
export const SHARE_TICK_MS = 500;

/** First delay before a table update that failed or changed nothing repeats. */
export const MIN_TABLE_RETRY_MS = 200;

/** Longest delay between such updates; limits the load on the platform. */
export const MAX_TABLE_RETRY_MS = 30_000;

/** Interval of the background work on loans and grants. */
export const LENDING_TICK_MS = 500;

/**
 * Delay before a lend request is repeated at a lender that lent nothing, and
 * before a grant request without a reachable coordinator is repeated. It keeps
 * a change of coordinator well below `limits.reserveWaitMs`.
 */
export const LENDING_RETRY_MS = 200;

/**
 * Longest delay before a lend request is repeated at a lender bound to another
 * coordinator, when loans last longer than `limits.loanMs`. The delay doubles
 * from `LENDING_RETRY_MS`: requests to 410 lenders every 200 ms would cause
 * 410 KB/s.
 */
export const MAX_REFUSAL_RETRY_MS = 6_400;

/** Time without demand after which a coordinator returns its loans. */
export const BUCKET_IDLE_MS = 30_000;

/** Time without spending after which a process returns its grants. */
export const GRANT_IDLE_MS = 1_000;

/**
 * Time for the replies to a round of lend requests. Until then, unanswered
 * requests are repeated, and a shortage after the first round is not final.
 */
export const LOAN_ROUND_TIMEOUT_MS = 1_000;

/** Window in which demand is measured; its tokens are requested in advance. */
export const DEMAND_WINDOW_MS = 1_000;

/** Time that ended grants are kept for late refunds. */
export const REFUND_RETENTION_MS = 120_000;

/**
 * Time after a host left before units move, so that a restart on the same host
 * moves none.
 */
export const REBALANCE_DELAY_MS = 3_000;

/**
 * Time after a host joined before units move. Until then the host has no units,
 * so it has no tokens to spend if it is disconnected from the others.
 */
export const JOIN_DELAY_MS = 1_000;

/** Tolerated rounding error of token sums. */
export const TOKEN_EPSILON = 1e-6;
