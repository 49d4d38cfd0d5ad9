/** Limits and periods of the side process. */

/**
 * Time for which finished attempts are kept. It exceeds the longest deadline of
 * a caller (600 s), after which no entry process sends an attempt again.
 */
export const FINISHED_RETENTION_MS = 900_000;
/** Takes about 30 MB; the oldest attempts are dropped first. */
export const MAX_FINISHED_ATTEMPTS = 100_000;
/** Time for which an attempt without a link waits for a Resume. */
export const RESUME_WINDOW_MS = 10_000;
/**
 * Time for which a draining process still replies to new requests, until entry
 * processes have received its announcement. It covers a round trip between
 * regions (16 ms) and a busy event loop at both ends.
 */
export const DRAIN_ANNOUNCEMENT_MS = 500;
/** Period of deadline checks. */
export const SWEEP_PERIOD_MS = 50;
/** Bytes buffered from the upstream beyond the receiver's credit. */
export const MAX_UNSENT_BYTES = 256 * 1024;
/** Unacknowledged bytes kept for a Resume. */
export const MAX_RETAINED_BYTES = 1024 * 1024;
export const MAX_CHUNK_BYTES = 64 * 1024;
/** Bytes buffered on a link above which streams pause. */
export const MAX_LINK_BUFFERED_BYTES = 4 * 1024 * 1024;
export const LINK_FLUSH_RETRY_MS = 5;
/** Largest JSON response and largest event that are parsed for usage. */
export const MAX_PARSED_BYTES = 1024 * 1024;
/** Source of the upstream's bytes in the receive budget. */
export const UPSTREAM_SOURCE = 'upstream';
export const MAX_ENGINE_RESUMES = 5;
export const ENGINE_RESUME_BASE_MS = 50;
export const ENGINE_RESUME_MAX_MS = 1_000;
/** Timeout of short calls to the engine. */
export const ENGINE_CALL_TIMEOUT_MS = 2_000;
/** The connection of a longer unneeded body is closed. */
export const MAX_DRAINED_BYTES = 64 * 1024;
/**
 * Largest reply of an engine to a control call; cache events take about 100
 * bytes each.
 */
export const MAX_ENGINE_REPLY_BYTES = 4 * 1024 * 1024;
/** Limits the delay of a refusal by the check whether the upstream ended. */
export const PROBE_TIMEOUT_MS = 500;
/** Time for which an existing upstream leaves an idle connection open. */
export const PROBE_OPEN_MS = 50;
export const MAX_UPSTREAM_PROBES = 5;
/** An upstream that sends a response for this long can run the request. */
export const PROVEN_RESPONSE_MS = 100;
/** Time until the status of a restarted engine shows the restart. */
export const BREAK_RETENTION_MS = 5_000;
export const MAX_FORWARDED_ANSWERS_PER_SECOND = 32;
export const LOAD_REPORT_PERIOD_MS = 1_000;
/** Shortest time between two load reports after responses on one link. */
export const MIN_LOAD_REPORT_INTERVAL_MS = 100;
/** Time after a request for which its link gets reports at the full rate. */
export const ACTIVE_LINK_MS = 10_000;
/**
 * Prefixes in one report to a process that asked for fewer reports. With 40
 * active links, prefixes then take about 3 KB/s.
 */
export const MAX_PREFIXES_PER_REPORT = 16;
export const RETRY_AFTER_MS = 1_000;
/** Waiting time after which overnight requests get every eighth turn. */
export const OVERNIGHT_AGING_MS = 60_000;
/** Poll period of the engine status while changes are pending. */
export const FAST_STATUS_PERIOD_MS = 50;
/** Longest lag of an engine report; limits the wait for an order to show. */
export const MAX_REPORT_LAG_MS = 15_000;
/** Exceeds the timeout of an engine call, so that only one call is open. */
export const ORDER_RESEND_MS = 3_000;
export const LOAD_RETRY_BASE_MS = 500;
export const LOAD_RETRY_MAX_MS = 30_000;
export const INTENT_RETRY_MS = 1_000;
/**
 * Order ids stored for outages of the platform. They allow 32 model swaps: one
 * every 20 s during the longest outage that the order lease outlasts (660 s).
 * An engine lists at least its latest 256 completed orders; these must include
 * the orders of a predecessor under such ids and the no-op orders of its
 * successor.
 */
export const RESERVED_ORDER_IDS = 64;
/** With fewer unused ids, the reserve is refilled. */
export const MIN_RESERVED_ORDER_IDS = 48;
/**
 * After a common start or an outage, side processes refill at random times in
 * this period or with their first order. For 920 upstreams this adds 92 writes
 * per second to the 92 of lease renewals.
 */
export const RESERVE_SPREAD_MS = 10_000;
export const CACHE_POLL_PERIOD_MS = 1_000;
/** Limit of the message schema. */
export const MAX_CACHED_PREFIXES = 256;
