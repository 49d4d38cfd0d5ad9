/**
 * Hands the pools of a gateway over when it leaves or gives orders. The others
 * learn of it by its next states, at different times; until then some of them
 * still ask this gateway, and the next home has no tokens yet.
 */

/** Capacity of a gateway as the others and as it itself see it. */
export interface PoolCapacity {
  /** For the states that are sent to the others. */
  announced: number;
  own: number;
  /** Whether the handover begins now. */
  isEnding: boolean;
}

/** Decides how long a gateway pools tokens. */
export interface PoolHandover {
  /** `capacity` is 0 while this gateway should not pool tokens. */
  update(capacity: number, nowMs: number): PoolCapacity;
}

/** States of a large fleet are up to 2 s apart. */
const HANDOVER_MS = 2_500;

/** Creates the handover of a gateway that pools nothing. */
export function createPoolHandover(): PoolHandover {
  let lastCapacity = 0;
  let untilMs = -Infinity;
  let isPooling = false;
  return {
    update: (capacity, nowMs) => {
      if (capacity > 0) {
        lastCapacity = capacity;
        untilMs = nowMs + HANDOVER_MS;
      }
      const isEnding = isPooling && capacity === 0;
      isPooling = capacity > 0;
      const own = nowMs < untilMs ? lastCapacity : 0;
      return {announced: capacity, own, isEnding};
    },
  };
}
