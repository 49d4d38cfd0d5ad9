/**
 * Decides when a request fails over from an unresponsive upstream to another
 * one. Callers abandon a stream after 2 to 3 s without an event, so an upstream
 * that hangs in the middle of a response must be abandoned before that.
 */

/** Why a request fails over. */
export enum FailoverReason {
  /** No stream of the upstream receives bytes any more. */
  Stalled = 'stalled',
  /** The request got no response within its timeout. */
  Unanswered = 'unanswered',
}

/** An attempt that waits for bytes from its upstream. */
export interface FailoverInput {
  /** Whether the route allows the request to run a second time. */
  canRepeat: boolean;
  isStream: boolean;
  /** Whether events of the stream have arrived. */
  hasReceivedEvents: boolean;
  /** Time since the attempt's last bytes, or since it was sent. */
  silentMs: number;
  /** Time since the first request after the upstream's last bytes, or 0. */
  upstreamSilentMs: number;
  /** Whether all streams of the upstream have stalled. */
  isUpstreamStalled: boolean;
  targetLatencyMs: number;
}

/** Timeout of requests that are no streams: multiple of the target latency. */
const PLAIN_TIMEOUT_LATENCY_MULTIPLE = 3;
const MIN_PLAIN_TIMEOUT_MS = 300;
/** Timeout of a stream's first event: multiple of the target latency. */
const FIRST_EVENT_LATENCY_MULTIPLE = 1.5;
const MIN_FIRST_EVENT_TIMEOUT_MS = 900;
const MAX_FIRST_EVENT_TIMEOUT_MS = 2_000;

/** Returns the reason to fail over now, or undefined to keep waiting. */
export function planFailover(input: FailoverInput): FailoverReason | undefined {
  if (!input.canRepeat) return undefined;
  if (input.isStream && input.hasReceivedEvents) {
    return input.isUpstreamStalled ? FailoverReason.Stalled : undefined;
  }
  const timeoutMs = input.isStream
    ? Math.min(
        MAX_FIRST_EVENT_TIMEOUT_MS,
        Math.max(
          MIN_FIRST_EVENT_TIMEOUT_MS,
          input.targetLatencyMs * FIRST_EVENT_LATENCY_MULTIPLE,
        ),
      )
    : Math.max(
        MIN_PLAIN_TIMEOUT_MS,
        input.targetLatencyMs * PLAIN_TIMEOUT_LATENCY_MULTIPLE,
      );
  if (input.silentMs < timeoutMs) return undefined;
  if (input.isUpstreamStalled) return FailoverReason.Stalled;
  // An upstream that responds to other requests is busy, not unresponsive.
  if (input.isStream && input.upstreamSilentMs < timeoutMs) return undefined;
  return FailoverReason.Unanswered;
}
