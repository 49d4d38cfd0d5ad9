/**
 * Estimates the offset between a peer's monotonic clock and the local one. A
 * message that echoes a local time was sent after it, so that time minus the
 * peer's send time is a lower bound of the offset; the greatest bound is kept.
 * With it the send time of later messages is estimated without a round trip,
 * and never too late: a message that was buffered during a freeze or a
 * partition counts as old.
 */
import type {ClockStamp} from '@siskinplank/messages';

/** Oscillators of ordinary hosts differ by at most a few hundred ppm. */
const MAX_DRIFT = 0.0005;
/** A bound is discarded after this time, since a clock may have stopped. */
const BOUND_LIFETIME_MS = 15_000;

/** Estimates the send times of the messages of one link. */
export interface PeerClock {
  /** Makes the stamp of a message that is sent now. */
  makeStamp(nowMs: number): ClockStamp;
  /**
   * Lower bound of the send time of a message on the local clock, in
   * milliseconds; undefined before the first echo.
   */
  estimateSentMs(stamp: ClockStamp, nowMs: number): number | undefined;
}

/** Creates the estimator of a new link. */
export function createPeerClock(): PeerClock {
  let lastReceivedMs: number | undefined;
  let offsetMs: number | undefined;
  let measuredAtMs = 0;
  return {
    makeStamp: nowMs =>
      lastReceivedMs === undefined
        ? {sentMs: nowMs}
        : {sentMs: nowMs, echoMs: lastReceivedMs},
    estimateSentMs: (stamp, nowMs) => {
      lastReceivedMs = stamp.sentMs;
      const elapsedMs = nowMs - measuredAtMs;
      if (offsetMs !== undefined && elapsedMs > BOUND_LIFETIME_MS) {
        offsetMs = undefined;
      }
      if (stamp.echoMs !== undefined && stamp.echoMs <= nowMs) {
        const measuredOffsetMs = stamp.echoMs - stamp.sentMs;
        const driftedOffsetMs =
          offsetMs === undefined ? -Infinity : offsetMs - elapsedMs * MAX_DRIFT;
        if (measuredOffsetMs >= driftedOffsetMs) {
          offsetMs = measuredOffsetMs;
          measuredAtMs = nowMs;
        }
      }
      if (offsetMs === undefined) return undefined;
      const drift = (nowMs - measuredAtMs) * MAX_DRIFT;
      return Math.min(nowMs, stamp.sentMs + offsetMs - drift);
    },
  };
}
