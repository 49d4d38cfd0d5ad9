/** Options and names of the placement policies. */

/** The implemented policies. */
export enum PlacementPolicyName {
  /** Served demand per accelerator, with the cost of moves weighed. */
  Default = 'default',
  /** Computed once from the first demand. */
  Static = 'static',
  /** By demand in each round, without regard to moves. */
  Greedy = 'greedy',
}

/** Options of the policies. */
export interface PlacementPolicyOptions {
  /** 0 weighs the worst-served client account only, 1 attainment only. */
  attainmentWeight?: number;
  /** Tokens a second that one accelerator serves within the latency targets. */
  tokensPerAccelerator?: number;
  /** Time over which a move must pay, in seconds. */
  horizonSeconds?: number;
  /** Load rate of model weights. */
  loadMiBPerSecond?: number;
  /** Served tokens that one model load costs the others on the upstream. */
  modelLoadCostTokens?: number;
  /** Factor by which a load must be worth more than what it evicts. */
  evictionFactor?: number;
  /** Part of a replica's capacity that a further replica must serve. */
  replicaFillRatio?: number;
  /** Time that removed items count as present without a report about them. */
  removalHoldMs?: number;
}

/** Defaults of the options. */
export const PLACEMENT_DEFAULTS: Required<PlacementPolicyOptions> = {
  attainmentWeight: 0.5,
  tokensPerAccelerator: 300,
  horizonSeconds: 300,
  loadMiBPerSecond: 2_000,
  modelLoadCostTokens: 500,
  // Noise of 30% on both sides changes a ratio by 1.3 / 0.7 = 1.86.
  evictionFactor: 2,
  replicaFillRatio: 0.35,
  removalHoldMs: 15_000,
};
