/** Options and names of the placement policies. */

/** The implemented policies. */
export enum PlacementPolicyName {
  /** Weighs the value of serving demand against the cost of model loads. */
  Default = 'default',
  /** Computes the placement once, from the first demand. */
  Static = 'static',
  /** Follows the demand of each round, whatever loads that takes. */
  Greedy = 'greedy',
}

/** Options of the policies. */
export interface PlacementPolicyOptions {
  /**
   * Weight of the share of all demand that is served, against the client
   * accounts with the lowest served share; 0 to 1.
   */
  attainmentWeight?: number;
  /** Tokens per second that an accelerator serves within latency targets. */
  tokensPerAccelerator?: number;
  /** Time within which a model load must pay off, in seconds. */
  horizonSeconds?: number;
  /** Rate at which model weights are loaded. */
  loadMiBPerSecond?: number;
  /** Tokens that other models on the upstream cannot serve during a load. */
  modelLoadCostTokens?: number;
  /** Factor by which the value of a load must exceed the evicted value. */
  evictionFactor?: number;
  /** Fraction of an upstream's capacity that a further replica must use. */
  replicaFillRatio?: number;
  /** Time for which removed items count as resident without a report. */
  removalHoldMs?: number;
}

/** Defaults of the options. */
export const PLACEMENT_DEFAULTS: Required<PlacementPolicyOptions> = {
  attainmentWeight: 0.5,
  tokensPerAccelerator: 300,
  horizonSeconds: 300,
  loadMiBPerSecond: 2_000,
  modelLoadCostTokens: 500,
  // Demand noise of 30% changes the ratio of two values by 1.3 / 0.7 = 1.86.
  evictionFactor: 2,
  replicaFillRatio: 0.35,
  removalHoldMs: 15_000,
};
