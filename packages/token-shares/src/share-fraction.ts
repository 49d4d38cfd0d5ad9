/**
 * Computes the fraction of every account's rate that accrues at this gateway.
 * Gateways learn of each other at different times; still, the fractions in use
 * never add up to more than one.
 */

/** What this gateway knows of the registered gateways. */
export interface FractionInput {
  /** Registered gateways, this one included. */
  gatewayCount: number;
  /** Whether this gateway's registration is acknowledged. */
  isRegistered: boolean;
  /**
   * Whether a gateway of this name was registered before, so that the others
   * already count it.
   */
  hadPredecessor: boolean;
  /** Whether all other gateways have reported that they know this one. */
  isKnownToAll: boolean;
  nowMs: number;
}

/** Fraction of one gateway. */
export interface ShareFraction {
  /** Returns the fraction; 0 while the sum over all could exceed one. */
  update(input: FractionInput): number;
}

/**
 * Creates the fraction of one gateway; it is 0 until the first update.
 *
 * @param settleMs time within which a change of the registrations reaches every
 *     gateway that may serve requests.
 */
export function createShareFraction(settleMs: number): ShareFraction {
  /** Gateway counts within `settleMs`, each with the last time it held. */
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
        // The others may have raised their fractions: all must first count this
        // gateway again.
        registeredAtMs = undefined;
        mayAccrue = false;
        return 0;
      }
      registeredAtMs ??= nowMs;
      const hasSettled = nowMs - registeredAtMs > settleMs;
      if (input.hadPredecessor || input.isKnownToAll || hasSettled) {
        mayAccrue = true;
      }
      // The largest count, as a gateway that was removed may still spend.
      return mayAccrue ? 1 / Math.max(...counts.keys()) : 0;
    },
  };
}
