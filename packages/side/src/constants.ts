/** Bounds and periods of the side process. */

/**
 * Time that finished attempts are remembered. It exceeds the longest caller
 * deadline (600 s), after which no entry process sends an attempt any more.
 */
export const FINISHED_RETENTION_MS = 900_000;
/** About 30 MB of identifiers; the oldest are dropped first. */
export const MAX_FINISHED_ATTEMPTS = 100_000;
/** Time that an attempt without a link waits for a Resume. */
export const RESUME_WINDOW_MS = 10_000;
/**
 * Time for which a process that leaves still answers requests, so that entry
 * processes have read the announcement: a round trip between regions (16 ms)
 * and a busy event loop at both ends.
 */
export const DRAIN_ANNOUNCEMENT_MS = 500;
/** Period of deadline checks. */
export const SWEEP_PERIOD_MS = 50;
/** Bytes read from the upstream ahead of the receiver's credit. */
export const MAX_UNSENT_BYTES = 256 * 1024;
/** Bytes kept for a Resume beyond what the receiver acknowledged. */
export const MAX_RETAINED_BYTES = 1024 * 1024;
export const MAX_CHUNK_BYTES = 64 * 1024;
/** Bytes queued on a link above which streams wait. */
export const MAX_LINK_BUFFERED_BYTES = 4 * 1024 * 1024;
export const LINK_FLUSH_RETRY_MS = 5;
/** Largest JSON response whose usage is read, and largest single event. */
export const MAX_PARSED_BYTES = 1024 * 1024;
export const MAX_ENGINE_RESUMES = 5;
export const ENGINE_RESUME_BASE_MS = 50;
export const ENGINE_RESUME_MAX_MS = 1_000;
/** Time limit of short calls to the engine. */
export const ENGINE_CALL_TIMEOUT_MS = 2_000;
export const LOAD_REPORT_PERIOD_MS = 1_000;
/** Shortest time between two load reports on one link. */
export const MIN_LOAD_REPORT_INTERVAL_MS = 100;
/** Time after a request in which its link gets reports at the full rate. */
export const ACTIVE_LINK_MS = 10_000;
/**
 * Prefixes in one report to a process that asked for fewer reports: 40 links
 * that carry requests then take about 3 KB/s for prefixes.
 */
export const MAX_PREFIXES_PER_REPORT = 16;
export const RETRY_AFTER_MS = 1_000;
/** Waiting time after which overnight requests get a fixed share of turns. */
export const OVERNIGHT_AGING_MS = 60_000;
/** Poll period of the engine status while something is to be done. */
export const FAST_STATUS_PERIOD_MS = 50;
/** Longest lag of an engine report; bounds the wait for orders without effect. */
export const MAX_REPORT_LAG_MS = 15_000;
/** Exceeds the time limit of an engine call, so that one copy is under way. */
export const ORDER_RESEND_MS = 3_000;
export const LOAD_RETRY_BASE_MS = 500;
export const LOAD_RETRY_MAX_MS = 30_000;
export const INTENT_RETRY_MS = 1_000;
/**
 * Order ids kept for outages: 32 model swaps, one each 20 s of the longest
 * outage that the order lease outlasts (660 s). An engine lists its latest
 * completed orders, at least 256, and the used ids of a predecessor together
 * with the ids used up by its successor must be among them.
 */
export const RESERVED_ORDER_IDS = 64;
/** Fewer unused ids than this are filled up while the platform answers. */
export const MIN_RESERVED_ORDER_IDS = 48;
/**
 * After a common start or an outage, 920 upstreams fill up at random times in
 * this period or with their first order, which adds 92 writes a second to the
 * 92 of lease renewals.
 */
export const RESERVE_SPREAD_MS = 10_000;
export const CACHE_POLL_PERIOD_MS = 1_000;
/** Bound of the message schema. */
export const MAX_CACHED_PREFIXES = 256;
