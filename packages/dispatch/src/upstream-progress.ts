/**
 * Detects upstreams that stop responding, hang or slow down while their health
 * check and registration still look good. All requests of one batch advance
 * together, so load alone can't stall all of them at once.
 */

/** Recent activity of one upstream, as one gateway observes it. */
export interface UpstreamProgress {
  /** Records that a request was sent to the upstream. */
  recordRequestSent(nowMs: number): void;
  /** Records that bytes of any response arrived from the upstream. */
  recordBytesReceived(nowMs: number): void;
  /** Counts a stream that has begun to respond. */
  addStream(nowMs: number): void;
  /** Ends a stream counted by `addStream`. */
  removeStream(): void;
  /** Records the pause between two events of one stream of `model`. */
  recordPause(model: string, pauseMs: number, nowMs: number): void;
  /** Smoothed pause, or undefined without a recent one. */
  getPauseMs(model: string, nowMs: number): number | undefined;
  /** Whether all streams have paused for longer than load explains. */
  isStalled(nowMs: number): boolean;
  /**
   * Time since the first request that was sent after the last bytes arrived; 0
   * when no request was.
   */
  getUnansweredMs(nowMs: number): number;
}

/**
 * Pause of all streams after which an upstream counts as stalled. One step
 * processes at most a few thousand prompt tokens, in about 110 ms. A single
 * stream gets more time, since it may have been preempted and queued again.
 */
const STALL_TIMEOUT_MS = 700;
const SINGLE_STREAM_STALL_TIMEOUT_MS = 1_100;
/** Number of streams from which the shorter stall time applies. */
const MIN_STREAMS_FOR_SHORT_TIMEOUT = 2;
/** Weight of the newest pause in the exponential moving average. */
const PAUSE_SMOOTHING_FACTOR = 0.15;
/** Age at which a smoothed pause expires. */
const PAUSE_EXPIRY_MS = 3_000;

/** Creates the progress of an upstream without recorded activity. */
export function createUpstreamProgress(): UpstreamProgress {
  let streamCount = 0;
  let lastBytesAtMs = -Infinity;
  let unansweredSinceMs: number | undefined;
  let streamingSinceMs = -Infinity;
  const pauses = new Map<string, {pauseMs: number; atMs: number}>();

  return {
    recordRequestSent: nowMs => {
      unansweredSinceMs ??= nowMs;
    },
    recordBytesReceived: nowMs => {
      lastBytesAtMs = nowMs;
      unansweredSinceMs = undefined;
    },
    addStream: nowMs => {
      if (streamCount === 0) streamingSinceMs = nowMs;
      streamCount += 1;
    },
    removeStream: () => {
      streamCount = Math.max(0, streamCount - 1);
    },
    recordPause: (model, pauseMs, nowMs) => {
      const known = pauses.get(model);
      const isKnown =
        known !== undefined && nowMs - known.atMs < PAUSE_EXPIRY_MS;
      const smoothed = isKnown
        ? known.pauseMs + (pauseMs - known.pauseMs) * PAUSE_SMOOTHING_FACTOR
        : pauseMs;
      pauses.set(model, {pauseMs: smoothed, atMs: nowMs});
    },
    getPauseMs: (model, nowMs) => {
      const known = pauses.get(model);
      const isKnown =
        known !== undefined && nowMs - known.atMs < PAUSE_EXPIRY_MS;
      return isKnown ? known.pauseMs : undefined;
    },
    isStalled: nowMs => {
      if (streamCount === 0) return false;
      const limitMs =
        streamCount >= MIN_STREAMS_FOR_SHORT_TIMEOUT
          ? STALL_TIMEOUT_MS
          : SINGLE_STREAM_STALL_TIMEOUT_MS;
      return nowMs - Math.max(lastBytesAtMs, streamingSinceMs) > limitMs;
    },
    getUnansweredMs: nowMs =>
      unansweredSinceMs === undefined ? 0 : nowMs - unansweredSinceMs,
  };
}
