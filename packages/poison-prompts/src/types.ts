/** Evidence about prompt parts that gateways exchange. */

/**
 * An incarnation of an upstream that ended, its age in milliseconds, and the
 * unproven parts of each request that it had not begun to answer.
 */
export type ReportedEnding = [
  upstream: string,
  ageMs: number,
  suspects: string[][],
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

/** What one gateway has observed; bounded in size. */
export interface PoisonReport {
  endings: ReportedEnding[];
  /** Suspects of any gateway that this one saw answered. */
  sound: string[];
  blames: ReportedBlame[];
}
