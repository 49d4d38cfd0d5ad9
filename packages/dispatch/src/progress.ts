/**
 * Signs of life of upstreams. Answers upstreams that go dark, hang or turn slow
 * while their health check and registration are good: all requests of one batch
 * advance together, so that silence on all of them is no matter of load.
 */

/** What one gateway has seen of one upstream. */
export interface UpstreamProgress {
  /** A request was sent. */
  recordRequestSent(nowMs: number): void;
  /** Any bytes came from the upstream. */
  recordBytesReceived(nowMs: number): void;
  /** A stream has events coming, or has ended. */
  addStream(nowMs: number): void;
  removeStream(): void;
  /** Pause between two events of one stream of `model`. */
  recordPause(model: string, pauseMs: number, nowMs: number): void;
  /** Smoothed pause, or undefined when none was seen lately. */
  getPauseMs(model: string, nowMs: number): number | undefined;
  /** Whether the upstream is silent for longer than load explains. */
  isStalled(nowMs: number): boolean;
  /** Time since anything was heard, or since the first unanswered request. */
  getUnansweredMs(nowMs: number): number;
}

/**
 * Silence of all streams that no load explains. A step reads at most some
 * thousand prompt tokens, about 110 ms; one stream alone may also wait in the
 * upstream's queue after it was preempted.
 */
const STALL_MS = 700;
const LONE_STALL_MS = 1_100;
/** Streams from which on their common silence counts as the upstream's. */
const SURE_STREAMS = 2;
/** Weight of one pause in the smoothed value. */
const PAUSE_WEIGHT = 0.15;
/** Time for which pauses are remembered. */
const PAUSE_KEPT_MS = 3_000;

/** Creates the progress of an upstream that nothing is known of. */
export function createUpstreamProgress(): UpstreamProgress {
  let streamCount = 0;
  let lastBytesAtMs = -Infinity;
  let waitingSinceMs: number | undefined;
  let streamingSinceMs = -Infinity;
  const pauses = new Map<string, {pauseMs: number; atMs: number}>();

  return {
    recordRequestSent: nowMs => {
      waitingSinceMs ??= nowMs;
    },
    recordBytesReceived: nowMs => {
      lastBytesAtMs = nowMs;
      waitingSinceMs = undefined;
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
      const isKnown = known !== undefined && nowMs - known.atMs < PAUSE_KEPT_MS;
      const smoothed = isKnown
        ? known.pauseMs + (pauseMs - known.pauseMs) * PAUSE_WEIGHT
        : pauseMs;
      pauses.set(model, {pauseMs: smoothed, atMs: nowMs});
    },
    getPauseMs: (model, nowMs) => {
      const known = pauses.get(model);
      const isKnown = known !== undefined && nowMs - known.atMs < PAUSE_KEPT_MS;
      return isKnown ? known.pauseMs : undefined;
    },
    isStalled: nowMs => {
      if (streamCount === 0) return false;
      const limitMs = streamCount >= SURE_STREAMS ? STALL_MS : LONE_STALL_MS;
      return nowMs - Math.max(lastBytesAtMs, streamingSinceMs) > limitMs;
    },
    getUnansweredMs: nowMs =>
      waitingSinceMs === undefined ? 0 : nowMs - waitingSinceMs,
  };
}
