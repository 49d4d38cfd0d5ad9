/**
 * When a request that may be repeated leaves its upstream for another one.
 * Answers upstreams that go dark or hang in the middle of answers: callers
 * abandon a stream after some seconds of silence.
 */

/** Why a request is moved. */
export enum FailoverReason {
  /** No bytes on any request of the upstream. */
  Stalled = 'stalled',
  /** The upstream has answered nothing since the request was sent. */
  Unanswered = 'unanswered',
}

/** One attempt that waits for bytes. */
export interface FailoverInput {
  /** Whether the route lets the request run a second time. */
  canRepeat: boolean;
  isStream: boolean;
  /** Whether events of the stream have come. */
  hasReceivedEvents: boolean;
  /** Time since its last bytes, or since it was sent, in milliseconds. */
  silentMs: number;
  /** Time since anything came from the upstream, while it owes an answer. */
  upstreamSilentMs: number;
  /** Whether all streams of the upstream are silent for too long. */
  isUpstreamStalled: boolean;
  targetLatencyMs: number;
}

/** Silence of a plain service, as a multiple of the target latency. */
const PLAIN_TARGETS = 3;
const MIN_PLAIN_MS = 300;
/** Silence before the first event of a stream, as a multiple of its target. */
const FIRST_EVENT_TARGETS = 1.5;
const MIN_FIRST_EVENT_MS = 900;
const MAX_FIRST_EVENT_MS = 2_000;

/** The reason to move now, or undefined to wait on. */
export function planFailover(input: FailoverInput): FailoverReason | undefined {
  if (!input.canRepeat) return undefined;
  if (input.isStream && input.hasReceivedEvents) {
    return input.isUpstreamStalled ? FailoverReason.Stalled : undefined;
  }
  const limitMs = input.isStream
    ? Math.min(
        MAX_FIRST_EVENT_MS,
        Math.max(
          MIN_FIRST_EVENT_MS,
          input.targetLatencyMs * FIRST_EVENT_TARGETS,
        ),
      )
    : Math.max(MIN_PLAIN_MS, input.targetLatencyMs * PLAIN_TARGETS);
  if (input.silentMs < limitMs) return undefined;
  if (input.isUpstreamStalled) return FailoverReason.Stalled;
  // An upstream that answers others is busy, not dark.
  if (input.isStream && input.upstreamSilentMs < limitMs) return undefined;
  return FailoverReason.Unanswered;
}
