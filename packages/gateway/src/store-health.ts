/** Whether the store is reachable, derived from all watches of the process. */

/** Connection state of the store, as seen by this process. */
export interface StoreHealth {
  /** Sets whether the last call of one watch succeeded. */
  updateConnection(watch: string, isConnected: boolean, nowMs: number): void;
  /** Whether the store is unreachable or was in the last `withinMs`. */
  wasUnreachableWithin(withinMs: number, nowMs: number): boolean;
  /** Registers a callback for each watch that succeeds again. */
  onReconnected(callback: () => void): void;
}

/** Creates the health of a store that counts as reachable. */
export function createStoreHealth(): StoreHealth {
  const disconnected = new Set<string>();
  const callbacks: Array<() => void> = [];
  let reconnectedAtMs = -Infinity;
  return {
    updateConnection: (watch, isConnected, nowMs) => {
      if (!isConnected) {
        disconnected.add(watch);
        return;
      }
      if (!disconnected.delete(watch)) return;
      reconnectedAtMs = nowMs;
      for (const callback of callbacks) callback();
    },
    wasUnreachableWithin: (withinMs, nowMs) =>
      disconnected.size > 0 || nowMs - reconnectedAtMs < withinMs,
    onReconnected: callback => void callbacks.push(callback),
  };
}
