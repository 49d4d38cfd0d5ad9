/** Whether the store has answered lately, over all watches of the process. */

/** State of the store as this process sees it. */
export interface StoreHealth {
  /** One watch was answered, or was not. */
  updateConnection(watch: string, isConnected: boolean, nowMs: number): void;
  /**
   * Whether the store is away, or came back less than `withinMs` ago.
   */
  wasUnreachableWithin(withinMs: number, nowMs: number): boolean;
  /** Calls back when the store answers a watch again. */
  onReconnected(callback: () => void): void;
}

/** Creates the health of a store that answers. */
export function createStoreHealth(): StoreHealth {
  const lost = new Set<string>();
  const callbacks: Array<() => void> = [];
  let regainedAtMs = -Infinity;
  return {
    updateConnection: (watch, isConnected, nowMs) => {
      if (!isConnected) {
        lost.add(watch);
        return;
      }
      if (!lost.delete(watch)) return;
      regainedAtMs = nowMs;
      for (const callback of callbacks) callback();
    },
    wasUnreachableWithin: (withinMs, nowMs) =>
      lost.size > 0 || nowMs - regainedAtMs < withinMs,
    onReconnected: callback => void callbacks.push(callback),
  };
}
