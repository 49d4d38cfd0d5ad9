/** Durations and sizes of the limiter that no setting changes. */

/** Name of the one ShareTable object. */
export const SHARE_TABLE_NAME = 'fleet';

/**
 * Renewals within one share lease. A holder keeps its units through an outage
 * that is a sixth shorter than the lease, wherever it begins.
 */
export const RENEWALS_PER_LEASE = 6;

/** Bound on the delay between repeated renewals, as a part of the lease. */
export const RETRIES_PER_LEASE = 20;

/** Period of the check whether the share table needs an update. */
export const SHARE_TICK_MS = 500;

/** First delay before a failed or fruitless table update is repeated. */
export const MIN_TABLE_RETRY_MS = 200;

/** Longest delay between fruitless table updates; bounds the platform's load. */
export const MAX_TABLE_RETRY_MS = 30_000;

/** Period of the coordinator's and the borrower's background work. */
export const LENDING_TICK_MS = 500;

/**
 * Delay before a lender that lent nothing is asked again, and before a request
 * that met no coordinator is sent again. A hand-over between coordinators so
 * ends well inside `limits.reserveWaitMs`.
 */
export const LENDING_RETRY_MS = 200;

/**
 * Longest delay before a lender bound to another coordinator is asked again,
 * when loans last longer than `limits.loanMs`. The delay doubles from
 * `LENDING_RETRY_MS`, because 410 lenders asked every 200 ms make 410 KB/s.
 */
export const MAX_REFUSAL_RETRY_MS = 6_400;

/** Time without demand after which a coordinator gives its loans back. */
export const BUCKET_IDLE_MS = 30_000;

/** Time without spending after which a borrower hands its grants back. */
export const GRANT_IDLE_MS = 1_000;

/** Time that a first round of loans may take before a shortage is final. */
export const LOAN_ROUND_TIMEOUT_MS = 1_000;

/** Demand that a borrower asks for ahead of its requests. */
export const DEMAND_WINDOW_MS = 1_000;

/** Time that a coordinator remembers a grant for late refunds. */
export const REFUND_RETENTION_MS = 120_000;

/**
 * Time after a host left before units move, so that a restart in place moves
 * none.
 */
export const REBALANCE_DELAY_MS = 3_000;

/**
 * Time after a host joined before units move. Until then the hosts that joined
 * have no share of their own, and a cut leaves them with nothing to spend.
 */
export const JOIN_DELAY_MS = 1_000;

/** Rounding error of token sums that is not treated as a shortage. */
export const TOKEN_EPSILON = 1e-6;
