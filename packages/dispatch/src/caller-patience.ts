/** Decides how long requests wait, by how long their callers do. */

/** Objectives of a route that callers derive their patience from. */
export interface CallerTargets {
  targetLatencyMs: number;
  /** Longest pause between events that meets the objective. */
  targetPauseMs: number | undefined;
}

/**
 * Callers wait at least this long for the first event of a stream, and for the
 * next one of a stream that they resume.
 */
const MIN_CALLER_WAIT_MS = 2_000;
const CALLER_WAIT_LATENCY_MULTIPLE = 4;
const CALLER_WAIT_PAUSE_MULTIPLE = 8;
/** Fraction of the caller's wait for which the gateway keeps a request. */
const MAX_WAIT_FRACTION = 0.85;
/** Longest wait of a new request for tokens that accrue to its account. */
const TOKEN_WAIT_MS = 150;
/**
 * The same for a request that resumes a stream. Its caller has a part of the
 * stream already, so tokens that are short go to it before a new stream.
 */
const RESUMED_TOKEN_WAIT_MS = 1_000;

/**
 * Longest time from the arrival of a request until it is sent to an upstream.
 * The rest of the caller's patience is left for the upstream.
 */
export function computeMaxWaitMs(targets: CallerTargets): number {
  return (
    MAX_WAIT_FRACTION *
    Math.max(
      MIN_CALLER_WAIT_MS,
      targets.targetLatencyMs * CALLER_WAIT_LATENCY_MULTIPLE,
      (targets.targetPauseMs ?? 0) * CALLER_WAIT_PAUSE_MULTIPLE,
    )
  );
}

/** A request that needs tokens of its account. */
export interface TokenWaitInput extends CallerTargets {
  /** Whether the request resumes a stream. */
  isResuming: boolean;
  arrivedAtMs: number;
  deadlineAtMs: number;
  nowMs: number;
}

/** Longest time for which a request waits for tokens from now. */
export function computeTokenWaitMs(input: TokenWaitInput): number {
  if (!input.isResuming) return TOKEN_WAIT_MS;
  const endsAtMs = Math.min(
    input.arrivedAtMs + computeMaxWaitMs(input),
    input.deadlineAtMs,
  );
  const leftMs = Math.min(RESUMED_TOKEN_WAIT_MS, endsAtMs - input.nowMs);
  return Math.max(TOKEN_WAIT_MS, leftMs);
}
