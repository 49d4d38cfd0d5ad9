/**
 * Decides until when a gateway that shuts down starts a request. One that can't
 * be expected to end before the gateway does is refused at once, so that its
 * caller turns to another gateway while it has time left.
 *
 * A response that is cut is lost, while a refusal costs a short delay once the
 * balancer sends the retry elsewhere. So after the notice, a request whose
 * response can't be taken back is started only if even its longest duration ends
 * before the gateway does. During the notice a retry may reach this gateway
 * again, and the expected duration decides.
 */

/** What the decision depends on. */
export interface LastStartInput {
  /** Time from which the balancer sends new connections elsewhere. */
  noticeEndsAtMs: number;
  /** Time at which this gateway ends the requests that are still open. */
  stopAtMs: number;
  deadlineAtMs: number;
  /** Expected duration of the request; undefined if unknown. */
  expectedMs: number | undefined;
  /**
   * Longest duration of a request whose response can't be taken back; undefined
   * if unknown.
   */
  longestMs: number | undefined;
  /**
   * Whether the request may not run a second time, or its response can't be taken
   * back once it has begun.
   */
  needsCertainty: boolean;
}

/** Retry-After during shutdown: other gateways can serve a retry at once. */
export const SHUTDOWN_RETRY_AFTER_MS = 50;

/** Last time at which the request is started. */
export function computeLastStartAtMs(input: LastStartInput): number {
  const {stopAtMs, noticeEndsAtMs, deadlineAtMs} = input;
  // It has ended by its deadline in any case.
  if (deadlineAtMs <= stopAtMs) return deadlineAtMs;
  const expectedStartAtMs = stopAtMs - (input.expectedMs ?? Infinity);
  if (!input.needsCertainty) return expectedStartAtMs;
  return Math.max(
    Math.min(expectedStartAtMs, noticeEndsAtMs),
    stopAtMs - (input.longestMs ?? Infinity),
  );
}
