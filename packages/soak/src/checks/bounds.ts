/** Bounds of the users' rules that the soak judges by; the bench's sheets state them. */

/** Age from which on a withdrawn key must not run (`revoke_ms`). */
export const REVOKE_MS = 5_000;
/** Time after which a leaving upstream gets nothing new (`drain_ms`). */
export const DRAIN_MS = 2_000;
/** Calm before a moment that makes a machine answerable for it (`contact_ms`). */
export const CONTACT_MS = 3_000;
/** Window, slack and overage of limits (`quota_*`). */
export const QUOTA_WINDOW_MS = 8_000;
export const QUOTA_SLACK = 11_000;
export const QUOTA_OVERAGE = 0.1;
/** Window, share and slack of repeats (`budget_*`). */
export const BUDGET_WINDOW_MS = 10_000;
export const BUDGET_RATIO = 0.2;
export const BUDGET_SLACK = 54;
/** Time after the last fault at which requests are served again (`recovery_s`). */
export const RECOVERY_MS = 12_000;
/** Part of the requests that must be served by then. */
export const RECOVERED_SHARE = 0.25;
/** Time that a caller's deadline may be exceeded by at an upstream. */
export const DEADLINE_SLACK_MS = 500;
