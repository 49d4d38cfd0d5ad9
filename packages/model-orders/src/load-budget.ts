/**
 * Limits the rate and number of concurrent loads from the weight store, over
 * all upstreams. When many models are requested at once, loads beyond the
 * store's rate would slow down every load, including urgent ones.
 */
import type {EngineSpec} from '@siskinplank/serving';

/** A planned load, which begins once its upstream has evicted other models. */
export interface LoadReservation {
  /** Spends one token: the load begins now, or may have begun. */
  begin(nowMs: number): void;
  /** Returns the reserved load to the budget unless it has begun. */
  cancel(): void;
}

/** Token bucket for loads during one gateway's term as order leader. */
export interface LoadBudget {
  /** Number of loads that may be planned at `nowMs`. */
  countLeft(engine: EngineSpec, nowMs: number): number;
  /**
   * Number of loads that may be planned for streams that can go on nowhere else:
   * one beyond the concurrent ones, if the rate allows it.
   */
  countLeftForStreams(engine: EngineSpec, nowMs: number): number;
  /** Reserves a load that takes about `loadMs`. */
  reserve(loadMs: number): LoadReservation;
}

/** Capacity of the token bucket: loads that may begin at once after a pause. */
const MAX_BURST_LOADS = 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates a budget with one token: a new term starts without a burst. */
export function createLoadBudget(): LoadBudget {
  let tokens = 1;
  let filledAtMs: number | undefined;
  let running: number[] = [];
  let reserved = 0;

  const countLeft = (
    engine: EngineSpec,
    nowMs: number,
    extraCount: number,
  ): number => {
    const elapsedMs = nowMs - (filledAtMs ?? nowMs);
    filledAtMs = nowMs;
    const gained =
      (engine.loadsPerSecond * elapsedMs) / MILLISECONDS_PER_SECOND;
    tokens = Math.min(MAX_BURST_LOADS, tokens + gained);
    running = running.filter(endsAtMs => endsAtMs > nowMs);
    let longestLoadMs = 0;
    for (const {storeLoadMs} of engine.models.values()) {
      longestLoadMs = Math.max(longestLoadMs, storeLoadMs);
    }
    // Little's law: this many concurrent loads use the store's full rate.
    const maxConcurrent = Math.max(
      1,
      Math.ceil(
        (engine.loadsPerSecond * longestLoadMs) / MILLISECONDS_PER_SECOND,
      ),
    );
    const left = Math.min(
      Math.floor(tokens),
      maxConcurrent + extraCount - running.length,
    );
    return Math.max(0, left - reserved);
  };

  return {
    countLeft: (engine, nowMs) => countLeft(engine, nowMs, 0),
    countLeftForStreams: (engine, nowMs) => countLeft(engine, nowMs, 1),
    reserve: loadMs => {
      let isPending = true;
      reserved += 1;
      const endReservation = (): boolean => {
        const wasPending = isPending;
        if (wasPending) reserved -= 1;
        isPending = false;
        return wasPending;
      };
      return {
        begin: nowMs => {
          if (!endReservation()) return;
          tokens -= 1;
          running.push(nowMs + loadMs);
        },
        cancel: () => void endReservation(),
      };
    },
  };
}
