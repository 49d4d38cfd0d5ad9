/**
 * Notices that the process was suspended. The monotonic clock of a suspended
 * machine stands still, so that what it measured looks younger than it is; the
 * time of day goes on.
 */

/** Compares the two clocks of one process. */
export interface PauseDetector {
  /** Milliseconds that the process missed since the last call, or 0. */
  observe(nowMs: number, wallMs: number): number;
}

/**
 * Creates a detector. A step of the time of day forward looks like a pause as
 * well; the caller then checks once too often.
 *
 * @param toleranceMs difference below which the clocks only drift.
 */
export function createPauseDetector(toleranceMs: number): PauseDetector {
  let lastOffsetMs: number | undefined;
  return {
    observe: (nowMs, wallMs) => {
      const offsetMs = wallMs - nowMs;
      const missedMs = offsetMs - (lastOffsetMs ?? offsetMs);
      lastOffsetMs = offsetMs;
      return missedMs > toleranceMs ? missedMs : 0;
    },
  };
}
