/** Bounds that the checks apply; the names in brackets are the users' rules. */

/** Time after SIGTERM until a process gets SIGKILL (`grace_s`). */
export const GRACE_MS = 8_000;
/** Fraction of the grace at whose end requests may be cut (`LOST`). */
export const LAST_GRACE_FRACTION = 1 / 6;
/** Requests sent so long after SIGTERM may be cut there. */
export const LATE_REQUEST_MS = 3_000;
/** Time after the grace in which a missing answer is due to the stop. */
export const STOP_SLACK_MS = 1_000;
/** Time in which a request that did not run may cross a close (`loss_slack_ms`). */
export const LOSS_SLACK_MS = 200;
/** Time after its withdrawal from which a key must be refused (`revoke_ms`). */
export const REVOKE_MS = 5_000;
/** Time after which a draining upstream gets no new request (`drain_ms`). */
export const DRAIN_MS = 2_000;
/** Time after a fault during which it excuses violations (`contact_ms`). */
export const CONTACT_MS = 3_000;
/** Window, slack and overage of limits (`quota_*`). */
export const QUOTA_WINDOW_MS = 8_000;
export const QUOTA_SLACK = 11_000;
export const QUOTA_OVERAGE = 0.1;
/** Window, ratio and slack of the retry budget (`budget_*`). */
export const BUDGET_WINDOW_MS = 10_000;
export const BUDGET_RATIO = 0.2;
export const BUDGET_SLACK = 54;
/** Time after the last fault until requests are served again (`recovery_s`). */
export const RECOVERY_MS = 12_000;
/** Fraction of the requests after RECOVERY_MS that must be served. */
export const MIN_SERVED_FRACTION = 0.25;
/** Time by which the deadline at an upstream may exceed the caller's. */
export const DEADLINE_SLACK_MS = 500;
/** Ends after which a poisoned part must be known (`BUDGET`). */
export const TOLERATED_ENDS = 5;
/** Requests with that part that may still reach upstreams. */
export const TOLERATED_POISONED = 3;
/** Window, factor and slack of the limits that upstreams name (`LIMIT`). */
export const NAMED_LIMIT_WINDOW_MS = 4_000;
export const NAMED_LIMIT_FACTOR = 1.5;
export const NAMED_LIMIT_SLACK = 5;
/** Time after which requests on their way have reached an upstream (`BUDGET`). */
export const BACKOFF_SLACK_MS = 500;
/** Requests that may reach it between that and the end of its wish. */
export const TOLERATED_BACKOFF_REQUESTS = 2;
