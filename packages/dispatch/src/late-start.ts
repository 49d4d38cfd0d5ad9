/**
 * Refuses requests that waited too long before they could be started. Handles
 * the load of more requests than a gateway has processor time for: served in
 * order of arrival, each would be late, while refusing costs a fraction of
 * serving.
 */

import {computeMaxWaitMs} from './caller-patience';
import type {CallerTargets} from './caller-patience';

/** What the decision depends on. */
export interface LateStartInput extends CallerTargets {
  /**
   * Time from the arrival of the request until its head was read. The time that
   * its body takes is the caller's.
   */
  unreadMs: number;
  /**
   * Whether the request resumes a stream. The stream's first event was on time
   * or not, whatever happens now, so that the target latency is no reason to
   * refuse the rest.
   */
  isResuming: boolean;
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
  if (input.isResuming) return unreadMs >= computeMaxWaitMs(input);
  const refusedMs = targetLatencyMs * REFUSED_WAIT_FRACTION;
  return unreadMs >= Math.max(MIN_REFUSED_WAIT_MS, refusedMs);
}
