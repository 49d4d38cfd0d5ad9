/** Requests of this gateway by model, reported to the order leader. */
import type {WaitingRequests} from './dispatcher';

/** Counts all requests and the waiting requests of each model. */
export interface DemandCounter {
  /** Counts a request, unless no service offers the model. */
  recordRequest(model: string): void;
  /**
   * By model: requests since the start, waiting requests, and the age of the
   * oldest waiting request in milliseconds.
   */
  describe(nowMs: number): Record<string, [number, number, number]>;
  /**
   * By model and by software version: streams that wait until a load is planned
   * at the version that began them.
   */
  describeStreams(nowMs: number): Record<string, Record<string, number>>;
}

const NONE_WAITING = {count: 0, oldestMs: 0};

/**
 * Creates a counter.
 *
 * @param describeWaiting returns the waiting requests by model.
 * @param isOffered whether some service offers a model.
 */
export function createDemandCounter(
  describeWaiting: (nowMs: number) => Map<string, WaitingRequests>,
  isOffered: (model: string) => boolean,
): DemandCounter {
  const totals = new Map<string, number>();
  return {
    recordRequest: model => {
      if (!isOffered(model)) return;
      totals.set(model, (totals.get(model) ?? 0) + 1);
    },
    describe: nowMs => {
      const waiting = describeWaiting(nowMs);
      // Callers choose the names: assigning to __proto__ adds no key.
      return Object.fromEntries(
        [...totals].map(([model, total]) => {
          const {count, oldestMs} = waiting.get(model) ?? NONE_WAITING;
          const oldestWaitMs = Math.max(0, Math.round(oldestMs));
          return [model, [total, count, oldestWaitMs]];
        }),
      );
    },
    describeStreams: nowMs =>
      Object.fromEntries(
        [...describeWaiting(nowMs)]
          .filter(
            ([model, {streamsByVersion}]) =>
              streamsByVersion.size > 0 && isOffered(model),
          )
          .map(([model, {streamsByVersion}]) => [
            model,
            Object.fromEntries(streamsByVersion),
          ]),
      ),
  };
}
