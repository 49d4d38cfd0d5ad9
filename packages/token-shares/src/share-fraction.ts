/**
 * The part of every account's rate that accrues at this gateway. Gateways learn
 * of each other at different times; the parts of those that accrue at one
 * moment never add up to more than one.
 */

/** What is known of the registered gateways. */
export interface FractionInput {
  /** Registered gateways, this one included. */
  gatewayCount: number;
  /** Whether this gateway's registration is acknowledged. */
  isRegistered: boolean;
  /** Whether the others counted a gateway of this name before. */
  hadPredecessor: boolean;
  /** Whether all others have said that they know this gateway. */
  isKnownToAll: boolean;
  nowMs: number;
}

/** Computes the part of one gateway. */
export interface ShareFraction {
  /** Part of the rate that accrues here; 0 before it is safe. */
  update(input: FractionInput): number;
}

/**
 * Creates the computation.
 *
 * @param settleMs time within which every gateway that may serve requests has
 *     seen a change of the registrations.
 */
export function createShareFraction(settleMs: number): ShareFraction {
  /** Counts seen lately, each with the last time at which it held. */
  const counts = new Map<number, number>();
  let registeredAtMs: number | undefined;
  let mayAccrue = false;
  return {
    update: input => {
      const {nowMs} = input;
      counts.set(input.gatewayCount, nowMs);
      for (const [count, seenAtMs] of [...counts]) {
        if (nowMs - seenAtMs > settleMs) counts.delete(count);
      }
      if (!input.isRegistered) {
        // Others may have raised their parts: it must be made known once more.
        registeredAtMs = undefined;
        mayAccrue = false;
        return 0;
      }
      registeredAtMs ??= nowMs;
      const hasSettled = nowMs - registeredAtMs > settleMs;
      if (input.hadPredecessor || input.isKnownToAll || hasSettled) {
        mayAccrue = true;
      }
      // The largest count: a gateway that was removed may still spend.
      return mayAccrue ? 1 / Math.max(...counts.keys()) : 0;
    },
  };
}
