/** Estimates how long callers wait for the next event of a stream. */

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
