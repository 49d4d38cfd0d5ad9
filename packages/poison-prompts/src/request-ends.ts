/** Ends of upstreams under one request, and what they prove. */

/** An incarnation of an upstream that ended before it answered the request. */
export interface RequestEnd {
  upstream: string;
  atMs: number;
  /** Whether the upstream had just begun to answer. */
  hasBegun: boolean;
  /** Whether the request was sent there since another one ended under it. */
  isRepeated: boolean;
}

/** Ends within this time of each other may have one cause outside of them. */
const COMMON_CAUSE_MS = 50;
const MAX_ENDS = 8;
/**
 * Time until the first test of a request that waited at two ends, alone and
 * with others that may have caused them.
 */
const FIRST_TRIAL_DELAY_MS = 15_000;
const AMBIGUOUS_TRIAL_DELAY_MS = 5_000;
/** Time until further tests; each one that ends an upstream lengthens it. */
const TRIAL_DELAY_MS = 60_000;
const TRIAL_DELAY_FACTOR = 4;
const MAX_TRIAL_DELAY_MS = 3_600_000;
/** Ends after which the delay begins to grow. */
const FIRST_GROWING_END = 3;

/** Adds an end; of two reports of one end, the earlier time is nearer. */
export function addEnd(
  ends: readonly RequestEnd[],
  end: RequestEnd,
): readonly RequestEnd[] {
  const known = ends.find(({upstream}) => upstream === end.upstream);
  const merged: RequestEnd = {
    upstream: end.upstream,
    atMs: Math.min(end.atMs, known?.atMs ?? Infinity),
    hasBegun: end.hasBegun || known?.hasBegun === true,
    isRepeated: end.isRepeated || known?.isRepeated === true,
  };
  return [...ends.filter(other => other !== known), merged]
    .sort((left, right) => left.atMs - right.atMs)
    .slice(-MAX_ENDS);
}

/** Counts ends, taking those that may have a common cause as one. */
export function countSeparateEnds(ends: readonly RequestEnd[]): number {
  let count = 0;
  let previousAtMs = -Infinity;
  for (const {atMs, isRepeated} of ends) {
    // A request that was sent on and ends the next upstream follows its path.
    const isSeparate = isRepeated || atMs - previousAtMs >= COMMON_CAUSE_MS;
    if (isSeparate) count += 1;
    previousAtMs = atMs;
  }
  return count;
}

/** Whether an upstream ended that had just begun to answer the request. */
export function hasBegunEnd(ends: readonly RequestEnd[]): boolean {
  return ends.some(({hasBegun}) => hasBegun);
}

/** Time from the last end until one request tests whether it ends upstreams. */
export function computeTrialDelayMs(
  ends: readonly RequestEnd[],
  isAmbiguous: boolean,
): number {
  const count = countSeparateEnds(ends);
  if (count < FIRST_GROWING_END && !hasBegunEnd(ends)) {
    return isAmbiguous ? AMBIGUOUS_TRIAL_DELAY_MS : FIRST_TRIAL_DELAY_MS;
  }
  const growth = Math.max(0, count - FIRST_GROWING_END);
  return Math.min(
    MAX_TRIAL_DELAY_MS,
    TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** growth,
  );
}
