/**
 * Detects that the process was suspended. The monotonic clock stops while its
 * host is suspended, so ages measured with it are too low afterwards; the wall
 * clock continues.
 */

/** Compares the monotonic and the wall clock of one process. */
export interface PauseDetector {
  /** Returns the pause since the last call in milliseconds, or 0. */
  observe(nowMs: number, wallMs: number): number;
}

/**
 * Creates a detector. A forward step of the wall clock is also reported as a
 * pause; the caller then makes one unnecessary check.
 *
 * @param toleranceMs largest difference that counts as clock drift.
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
