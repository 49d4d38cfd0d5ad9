/** Evidence about prompt parts that gateways exchange. */

/** A request that an upstream had not answered when it ended. */
export interface EndedRequest {
  /** Shared parts of its prompt. */
  parts: readonly string[];
  /** Whether the head of the response had arrived, but none of its events. */
  hasBegun: boolean;
}

/**
 * An incarnation of an upstream that ended, how long ago that was, and the
 * unproven parts of each unanswered request: of those whose responses had begun
 * and of those that waited.
 */
export type ReportedEnding = [
  upstream: string,
  ageMs: number,
  begun: string[][],
  waiting: string[][],
];

/**
 * Parts that end upstreams when one prompt has all of them. A higher episode
 * replaces a lower one; within an episode, a lifted blame stays lifted.
 */
export type ReportedBlame = [
  parts: string[],
  episode: number,
  isLifted: boolean,
  trialInMs: number,
];

/**
 * Fingerprint of a request; the upstreams that ended before they answered it,
 * how long ago, whether they had just begun to answer, and whether the request
 * was sent there since another one ended; the age of the last answer that the
 * sender saw, or -1.
 */
export type ReportedDeadlyRequest = [
  fingerprint: string,
  ends: Array<
    [upstream: string, ageMs: number, hasBegun: boolean, isRepeated: boolean]
  >,
  answeredAgeMs: number,
];

/** Whether a request may be sent to an upstream. */
export interface RequestVerdict {
  isRefused: boolean;
  /** Milliseconds until the next test; 0 unless refused. */
  retryAfterMs: number;
  /** Whether the request tests whether it ends upstreams. */
  isTrial: boolean;
}

/** What one gateway has observed; bounded in size. */
export interface PoisonReport {
  endings: ReportedEnding[];
  /** Suspects of any gateway that this one saw answered. */
  sound: string[];
  blames: ReportedBlame[];
}
