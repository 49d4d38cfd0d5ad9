/** Requests of this gateway by model, reported to the order leader. */

/** Counts all requests and the waiting requests of each model. */
export interface DemandCounter {
  recordRequest(model: string): void;
  /**
   * By model: requests since the start, waiting requests, and the age of the
   * oldest waiting request in milliseconds.
   */
  describe(nowMs: number): Record<string, [number, number, number]>;
}

/**
 * Creates a counter.
 *
 * @param describeWaiting returns the waiting requests by model.
 */
export function createDemandCounter(
  describeWaiting: (
    nowMs: number,
  ) => Map<string, {count: number; oldestMs: number}>,
): DemandCounter {
  const totals = new Map<string, number>();
  return {
    recordRequest: model =>
      void totals.set(model, (totals.get(model) ?? 0) + 1),
    describe: nowMs => {
      const described: Record<string, [number, number, number]> = {};
      const waiting = describeWaiting(nowMs);
      for (const [model, total] of totals) {
        const {count, oldestMs} = waiting.get(model) ?? {count: 0, oldestMs: 0};
        described[model] = [total, count, Math.max(0, Math.round(oldestMs))];
      }
      return described;
    },
  };
}
