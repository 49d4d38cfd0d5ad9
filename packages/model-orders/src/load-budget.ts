/**
 * Loads from the weight store that may begin, over all upstreams. Answers many
 * models that are wanted at once: beyond the store's rate every load would take
 * longer, the urgent ones too.
 */
import type {EngineSpec} from '@siskinplank/serving';

/** A load that was planned and may begin later, when its upstream has room. */
export interface LoadReservation {
  /** The load begins now, or may have begun. */
  begin(nowMs: number): void;
  /** The load will not begin. */
  cancel(): void;
}

/** Tokens of one gateway's term. */
export interface LoadBudget {
  /** Loads that may be planned at `nowMs`. */
  countLeft(engine: EngineSpec, nowMs: number): number;
  /** Keeps a place for a load that takes about `loadMs`. */
  reserve(loadMs: number): LoadReservation;
}

/** Loads that may begin at once after a pause. */
const BURST_LOADS = 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates a budget; a new term starts without a burst. */
export function createLoadBudget(): LoadBudget {
  let tokens = 1;
  let filledAtMs: number | undefined;
  let running: number[] = [];
  let reserved = 0;
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
      const left = Math.min(Math.floor(tokens), mostAtOnce - running.length);
      return Math.max(0, left - reserved);
    },
    reserve: loadMs => {
      let isOpen = true;
      reserved += 1;
      const settle = (): boolean => {
        const wasOpen = isOpen;
        if (wasOpen) reserved -= 1;
        isOpen = false;
        return wasOpen;
      };
      return {
        begin: nowMs => {
          if (!settle()) return;
          tokens -= 1;
          running.push(nowMs + loadMs);
        },
        cancel: () => void settle(),
      };
    },
  };
}
