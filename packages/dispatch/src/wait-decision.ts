/**
 * Decides whether a request for a model that no upstream can serve now waits or
 * is refused. A model load takes about a second: many callers can wait that
 * long, and the rest are better refused at once than after their timeout.
 */

import {computeMaxWaitMs} from './caller-patience';
import type {CallerTargets} from './caller-patience';
import {SHUTDOWN_RETRY_AFTER_MS} from './last-start';

/** A request that no upstream can run now. */
export interface WaitInput extends CallerTargets {
  arrivedAtMs: number;
  /** Time at which the caller's deadline or the route's timeout ends. */
  deadlineAtMs: number;
  /**
   * Expected end of a load of the model, or of the time for which an upstream
   * wants no requests; undefined if none is known.
   */
  expectedAtMs: number | undefined;
  /**
   * Whether an upstream may become able to run the request: one will want
   * requests again, or a gateway acts as placement controller and can load the
   * model.
   */
  mayBecomeServable: boolean;
  /**
   * Last time at which a gateway that shuts down starts the request, since it
   * would not complete later before the gateway exits. Undefined while the
   * gateway runs normally.
   */
  lastStartAtMs: number | undefined;
  nowMs: number;
}

/** Whether a request waits or is refused. */
export interface WaitDecision {
  isRefused: boolean;
  /** Value for Retry-After; used only when the request is refused. */
  retryAfterMs: number;
}

/** Time that the placement controller may take to plan a load. */
const MIN_PLANNING_MS = 700;
/** Fraction of the maximum wait in which a load must have been planned. */
const PLANNING_FRACTION = 0.4;
/** Retry-After when the end of the load is unknown. */
const UNKNOWN_RETRY_AFTER_MS = 1_000;
const MIN_RETRY_AFTER_MS = 50;

/** Decides whether a request keeps waiting. */
export function planWait(input: WaitInput): WaitDecision {
  const maxWaitMs = computeMaxWaitMs(input);
  const waitEndsAtMs = Math.min(
    input.arrivedAtMs + maxWaitMs,
    input.deadlineAtMs,
  );
  if (!input.mayBecomeServable) {
    return {isRefused: true, retryAfterMs: UNKNOWN_RETRY_AFTER_MS};
  }
  const {expectedAtMs, lastStartAtMs, nowMs} = input;
  const startsAtMs = Math.max(nowMs, expectedAtMs ?? nowMs);
  if (lastStartAtMs !== undefined && startsAtMs > lastStartAtMs) {
    return {isRefused: true, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS};
  }
  if (expectedAtMs !== undefined) {
    const isInTime = expectedAtMs <= waitEndsAtMs && nowMs <= waitEndsAtMs;
    const leftMs = Math.max(MIN_RETRY_AFTER_MS, expectedAtMs - nowMs);
    return {isRefused: !isInTime, retryAfterMs: leftMs};
  }
  const maxPlanningMs = Math.max(
    MIN_PLANNING_MS,
    maxWaitMs * PLANNING_FRACTION,
  );
  const isPlanningOverdue =
    nowMs - input.arrivedAtMs > maxPlanningMs || nowMs > waitEndsAtMs;
  return {isRefused: isPlanningOverdue, retryAfterMs: UNKNOWN_RETRY_AFTER_MS};
}
