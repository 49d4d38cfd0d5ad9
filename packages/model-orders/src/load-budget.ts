/**
 * Loads from the weight store that may begin, over all upstreams. Answers many
 * models that are wanted at once: beyond the store's rate every load would take
 * longer, the urgent ones too.
 */
import type {EngineSpec} from '@siskinplank/serving';

/** Tokens of one gateway's term. */
export interface LoadBudget {
  /** Loads that may begin at `nowMs`. */
  countLeft(engine: EngineSpec, nowMs: number): number;
  /** Notes a load that takes about `loadMs`. */
  spend(loadMs: number, nowMs: number): void;
}

/** Loads that may begin at once after a pause. */
const BURST_LOADS = 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates a budget; a new term starts without a burst. */
export function createLoadBudget(): LoadBudget {
  let tokens = 1;
  let filledAtMs: number | undefined;
  let running: number[] = [];
  return {
    countLeft: (engine, nowMs) => {
      const elapsedMs = nowMs - (filledAtMs ?? nowMs);
      filledAtMs = nowMs;
      const gained =
        (engine.loadsPerSecond * elapsedMs) / MILLISECONDS_PER_SECOND;
      tokens = Math.min(BURST_LOADS, tokens + gained);
      running = running.filter(endsAtMs => endsAtMs > nowMs);
      let longestLoadMs = 0;
      for (const {storeLoadMs} of engine.models.values()) {
        longestLoadMs = Math.max(longestLoadMs, storeLoadMs);
      }
      // The store serves its rate with this many loads at a time.
      const mostAtOnce = Math.max(
        1,
        Math.ceil(
          (engine.loadsPerSecond * longestLoadMs) / MILLISECONDS_PER_SECOND,
        ),
      );
      return Math.max(
        0,
        Math.min(Math.floor(tokens), mostAtOnce - running.length),
      );
    },
    spend: (loadMs, nowMs) => {
      tokens -= 1;
      running.push(nowMs + loadMs);
    },
  };
}
