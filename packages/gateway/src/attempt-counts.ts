/** Counts the attempts of one request, and knows which upstreams were tried. */
import type {Route} from '@siskinplank/serving';

/** The attempts of one request. */
export interface AttemptCounts {
  /** Upstreams that get no further attempt. */
  readonly triedUpstreamIds: ReadonlySet<string>;
  /** Attempts that were sent or are about to be. */
  getSentCount(): number;
  /** Counts an attempt; true if one was made at this upstream before. */
  recordAttempt(upstreamId: string): boolean;
  /** Takes back an attempt that was cancelled before it was sent. */
  removeAttempt(upstreamId: string): void;
  /** Notes that nothing was sent, since no connection was made. */
  recordUnreachable(): void;
  /** Notes a failure; true if an attempt at this upstream failed before. */
  recordFailure(upstreamId: string): boolean;
  /** Lets an upstream get one more attempt. */
  releaseUpstream(upstreamId: string): void;
  /** Whether the route allows to send the request to a further upstream. */
  hasAttemptsLeft(): boolean;
}

/** Upstreams that one request finds unreachable before it is refused. */
const MAX_UNREACHABLE = 4;

/** Creates the counts of a request that was not sent yet. */
export function createAttemptCounts({
  maxAttempts,
}: Pick<Route, 'maxAttempts'>): AttemptCounts {
  const triedUpstreamIds = new Set<string>();
  /** Upstreams at which an attempt was made, those that rejected it included. */
  const sentUpstreamIds = new Set<string>();
  const failedUpstreamIds = new Set<string>();
  let sentCount = 0;
  let unreachableCount = 0;

  return {
    triedUpstreamIds,
    getSentCount: () => sentCount,
    recordAttempt: upstreamId => {
      const isRepeated = sentUpstreamIds.has(upstreamId);
      triedUpstreamIds.add(upstreamId);
      sentUpstreamIds.add(upstreamId);
      sentCount += 1;
      return isRepeated;
    },
    removeAttempt: upstreamId => {
      sentCount -= 1;
      triedUpstreamIds.delete(upstreamId);
      sentUpstreamIds.delete(upstreamId);
    },
    recordUnreachable: () => {
      sentCount -= 1;
      unreachableCount += 1;
    },
    recordFailure: upstreamId => {
      const isRepeated = failedUpstreamIds.has(upstreamId);
      failedUpstreamIds.add(upstreamId);
      return isRepeated;
    },
    releaseUpstream: upstreamId => void triedUpstreamIds.delete(upstreamId),
    hasAttemptsLeft: () =>
      triedUpstreamIds.size - unreachableCount < maxAttempts &&
      unreachableCount < MAX_UNREACHABLE,
  };
}
