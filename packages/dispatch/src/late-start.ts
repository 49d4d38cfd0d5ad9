/**
 * Refuses requests that waited too long before they could be started. Handles
 * the load of more requests than a gateway has processor time for: served in
 * order of arrival, each would be late, while refusing costs a fraction of
 * serving.
 */

/** What the decision depends on. */
export interface LateStartInput {
  /**
   * Time from the arrival of the request until its head was read. The time that
   * its body takes is the caller's.
   */
  unreadMs: number;
  /** Time within which a response is on time. */
  targetLatencyMs: number;
}

/** Waits below this are usual for a turn of the event loop under load. */
const MIN_REFUSED_WAIT_MS = 150;
/** The rest of the target latency is left for the upstream. */
const REFUSED_WAIT_FRACTION = 0.5;
/**
 * Suggested delay of the retry. Retries reach other gateways, which need not be
 * late.
 */
export const LATE_START_RETRY_MS = 50;

/** Whether a request is refused because its time was spent waiting here. */
export function shouldRefuseLateStart(input: LateStartInput): boolean {
  const {unreadMs, targetLatencyMs} = input;
  const refusedMs = targetLatencyMs * REFUSED_WAIT_FRACTION;
  return unreadMs >= Math.max(MIN_REFUSED_WAIT_MS, refusedMs);
}
