/**
 * How long a request may wait for an upstream, and when it is refused. Answers
 * models that are not held anywhere: a load takes about a second, which many
 * requests can wait for, while others have given up by then.
 */

/** A request that no upstream can run now. */
export interface WaitInput {
  arrivedAtMs: number;
  /** Time at which the caller or the route gives up. */
  deadlineAtMs: number;
  targetLatencyMs: number;
  targetPauseMs: number | undefined;
  /** When an upstream is expected to hold the model; undefined if unknown. */
  expectedAtMs: number | undefined;
  /** Whether some gateway gives orders, so that the model can be loaded. */
  canBeLoaded: boolean;
  /**
   * Time until which this gateway starts requests, while it leaves; those that
   * start later would not end before it does.
   */
  lastStartAtMs: number | undefined;
  nowMs: number;
}

/** What to do with it. */
export interface WaitDecision {
  isRefused: boolean;
  /** When a repeat may be served; only with a refusal. */
  retryAfterMs: number;
}

/** Callers of streams wait for the first event at least this long. */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;
/** Part of that patience after which waiting is no use. */
const PATIENCE_SHARE = 0.85;
/** Time that the giver of orders needs to plan a load. */
const MIN_PLAN_MS = 700;
/** Part of the patience in which a load may still be planned. */
const PLAN_SHARE = 0.4;
/** Retry-After when it is not known when a model will be present. */
const UNKNOWN_RETRY_MS = 1_000;
const MIN_RETRY_MS = 50;
/** Retry-After of a leaving gateway: the others take the request at once. */
const ELSEWHERE_RETRY_MS = 50;

/** Decides whether a request waits on. */
export function planWait(input: WaitInput): WaitDecision {
  const patienceMs =
    PATIENCE_SHARE *
    Math.max(
      MIN_PATIENCE_MS,
      input.targetLatencyMs * PATIENCE_TARGETS,
      (input.targetPauseMs ?? 0) * PATIENCE_PAUSES,
    );
  const lastAtMs = Math.min(input.arrivedAtMs + patienceMs, input.deadlineAtMs);
  if (!input.canBeLoaded) {
    return {isRefused: true, retryAfterMs: UNKNOWN_RETRY_MS};
  }
  const {expectedAtMs, lastStartAtMs, nowMs} = input;
  const startsAtMs = Math.max(nowMs, expectedAtMs ?? nowMs);
  if (lastStartAtMs !== undefined && startsAtMs > lastStartAtMs) {
    return {isRefused: true, retryAfterMs: ELSEWHERE_RETRY_MS};
  }
  if (expectedAtMs !== undefined) {
    const isInTime = expectedAtMs <= lastAtMs && nowMs <= lastAtMs;
    const leftMs = Math.max(MIN_RETRY_MS, expectedAtMs - nowMs);
    return {isRefused: !isInTime, retryAfterMs: leftMs};
  }
  const planMs = Math.max(MIN_PLAN_MS, patienceMs * PLAN_SHARE);
  const isPlanLate = nowMs - input.arrivedAtMs > planMs || nowMs > lastAtMs;
  return {isRefused: isPlanLate, retryAfterMs: UNKNOWN_RETRY_MS};
}
